#include <time.h>
#include <unistd.h>

#include "base_int.h"

static void add_time(base_buf_t *line);
static void add_str(base_buf_t *line, const base_field_t *field);
static void add_int(base_buf_t *line, const base_field_t *field);
static void add_real(base_buf_t *line, const base_field_t *field);
static void add_bool(base_buf_t *line, const base_field_t *field);

static void (*const add_field[BASE_FIELD_KIND_MAX])(base_buf_t *,
						    const base_field_t *) = {
	[BASE_FIELD_STR] = add_str,
	[BASE_FIELD_INT] = add_int,
	[BASE_FIELD_REAL] = add_real,
	[BASE_FIELD_BOOL] = add_bool,
};

void base_log_fields(const base_log_t *log, base_msg_t msg,
		     const base_field_t *fields, size_t n)
{
	const base_msg_info_t *info = base_msg_info(msg);
	base_buf_t *line;
	ssize_t written;

	if (info->level < log->level)
		return;
	line = base_buf_new(NULL);
	add_time(line);
	base_buf_addf(line, ",\"level\":\"%s\",\"msg\":\"%s\",\"text\":\"%s\"",
		      base_level_name(info->level), info->name, info->text);
	for (size_t i = 0; i < n; i++) {
		base_buf_addf(line, ",\"%s\":", fields[i].key);
		add_field[fields[i].kind](line, &fields[i]);
	}
	base_buf_adds(line, "}\n");
	written = write(log->fd, line->ptr, line->len);
	(void)written; /* there is nowhere to report a failure */
	talloc_free(line);
}

static void add_time(base_buf_t *line)
{
	struct timespec now;
	struct tm parts;
	char text[32];

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
	base_buf_addf(line, "{\"time\":\"%s.%06ldZ\"", text,
		      now.tv_nsec / 1000);
}

static void add_str(base_buf_t *line, const base_field_t *field)
{
	base_buf_add_json(line, base_str(field->str));
}

static void add_int(base_buf_t *line, const base_field_t *field)
{
	base_buf_addf(line, "%lld", (long long)field->num);
}

static void add_real(base_buf_t *line, const base_field_t *field)
{
	base_buf_addf(line, "%.6g", field->real);
}

static void add_bool(base_buf_t *line, const base_field_t *field)
{
	base_buf_adds(line, field->num ? "true" : "false");
}
