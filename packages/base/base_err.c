#include "base_int.h"

void base_err_wrap(GError **dst, GQuark domain, int code, GError *cause,
		   const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	g_set_error(dst, domain, code, "%s: %s", text,
		    cause ? cause->message : "unknown cause");
	g_free(text);
	g_clear_error(&cause);
}
