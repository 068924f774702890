/*
 * base_err - helpers for GError.
 *
 * Each layer has its own error domain.  base_err_wrap() converts an error of
 * the layer below to that domain and keeps the text of the cause.
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <glib.h>

/*
 * Define NAME_error_quark(), the domain of package NAME.  G_DEFINE_QUARK is not
 * used because threads would race to set its static variable.
 */
#define BASE_ERROR_DOMAIN(name)                                    \
	GQuark name##_error_quark(void)                            \
	{                                                          \
		return g_quark_from_static_string(#name "-error"); \
	}

/*
 * Set "*dst" to an error of "domain" and "code" whose text is the formatted
 * one, ": " and the text of "cause".  Frees "cause".  "dst" may be NULL.
 */
void base_err_wrap(GError **dst, GQuark domain, int code, GError *cause,
		   const char *fmt, ...) __attribute__((format(printf, 5, 6)));

#endif
