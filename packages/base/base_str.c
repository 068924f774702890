#include "base_int.h"

#define DECIMAL_MAX 20 /* digits of a uint64_t */

static void grow(base_buf_t *buf, size_t extra);

base_str_t base_str(const char *text)
{
	return (base_str_t){ text ? text : "", text ? strlen(text) : 0 };
}

bool base_str_eq(base_str_t a, base_str_t b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

char *base_str_dup(const void *ctx, base_str_t s)
{
	return talloc_strndup(ctx, s.len ? s.ptr : "", s.len);
}

base_buf_t *base_buf_new(const void *ctx)
{
	base_buf_t *buf = talloc_zero(ctx, base_buf_t);

	grow(buf, 0);
	return buf;
}

void base_buf_add(base_buf_t *buf, const void *data, size_t len)
{
	if (!len)
		return;
	grow(buf, len);
	memcpy(buf->ptr + buf->len, data, len);
	buf->len += len;
	buf->ptr[buf->len] = '\0';
}

void base_buf_adds(base_buf_t *buf, const char *text)
{
	base_buf_add(buf, text, strlen(text));
}

/* Formats into the free space; if it is too small, grows and formats again. */
void base_buf_addf(base_buf_t *buf, const char *fmt, ...)
{
	size_t available = buf->alloc - buf->len;
	va_list ap, again;
	int len;

	va_start(ap, fmt);
	va_copy(again, ap);
	len = vsnprintf(buf->ptr + buf->len, available, fmt, ap);
	va_end(ap);
	if (len >= 0 && (size_t)len >= available) {
		buf->ptr[buf->len] = '\0';
		grow(buf, (size_t)len);
		vsnprintf(buf->ptr + buf->len, (size_t)len + 1, fmt, again);
	}
	if (len > 0)
		buf->len += (size_t)len;
	va_end(again);
}

void base_buf_add_uint(base_buf_t *buf, uint64_t value)
{
	char digits[DECIMAL_MAX];
	size_t at = sizeof(digits);

	do {
		digits[--at] = (char)('0' + value % 10);
		value /= 10;
	} while (value);
	base_buf_add(buf, digits + at, sizeof(digits) - at);
}

void base_buf_add_int(base_buf_t *buf, int64_t value)
{
	if (value < 0)
		base_buf_add(buf, "-", 1);
	base_buf_add_uint(buf, value < 0 ? -(uint64_t)value : (uint64_t)value);
}

void base_buf_add_json(base_buf_t *buf, base_str_t s)
{
	size_t copied = 0;

	base_buf_add(buf, "\"", 1);
	for (size_t i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c >= 0x20 && c != '"' && c != '\\' && c != 0x7f)
			continue;
		base_buf_add(buf, s.ptr + copied, i - copied);
		copied = i + 1;
		if (c == '"' || c == '\\')
			base_buf_addf(buf, "\\%c", c);
		else
			base_buf_addf(buf, "\\u%04x", c);
	}
	base_buf_add(buf, s.ptr + copied, s.len - copied);
	base_buf_add(buf, "\"", 1);
}

void base_buf_reset(base_buf_t *buf)
{
	buf->len = 0;
	buf->ptr[0] = '\0';
}

base_str_t base_buf_str(const base_buf_t *buf)
{
	return (base_str_t){ buf->ptr, buf->len };
}

static void grow(base_buf_t *buf, size_t extra)
{
	size_t need = buf->len + extra + 1;

	if (need <= buf->alloc)
		return;
	buf->alloc = need * 2 < BASE_BUF_MIN ? BASE_BUF_MIN : need * 2;
	buf->ptr = talloc_realloc(buf, buf->ptr, char, buf->alloc);
	buf->ptr[buf->len] = '\0';
}
