/*
 * Log lines are buffered and written together, without blocking.  If the reader
 * is too slow, lines are dropped and counted; the node is never delayed.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <time.h>
#include <unistd.h>

#include "node_int.h"

#define LOG_FLUSH_EVERY (100 * BASE_MS) /* delay: one write for many lines */
#define LOG_FLUSH_AT (16 << 10)		/* bytes; a quarter of the buffer */
#define LOG_BUFFER_MAX (64 << 10)	/* bytes; then lines are dropped */
/* Lines per second and message id: 350 workers start some 700 tasks a second on
 * average; a line costs 2 us. */
#define LOG_LINES_PER_SECOND 1000
#define LOG_MICROS_DIGITS 6

struct node_log {
	int fd;
	base_buf_t *buffer;
	net_timer_t *timer;
	bool flush_scheduled;
	int64_t second;
	time_t text_second; /* that "text" names */
	char text[48];
	uint32_t lines[BASE_MSG_MAX]; /* lines in "second", by id */
	uint64_t dropped;
	uint64_t dropped_reported;
};

/* Length of the next write: as many whole lines as a pipe takes atomically, or
 * one longer line. */
static size_t next_write_len(const char *text, size_t len)
{
	size_t whole_len = 0;
	const char *end;

	while ((end = memchr(text + whole_len, '\n', len - whole_len)) !=
	       NULL) {
		size_t line_end = (size_t)(end - text) + 1;

		if (line_end > PIPE_BUF)
			return whole_len ? whole_len : line_end;
		whole_len = line_end;
	}
	return whole_len ? whole_len : len;
}

static void write_buffer(struct node_log *log)
{
	size_t at = 0;
	ssize_t wrote;

	while (at < log->buffer->len) {
		wrote = write(log->fd, log->buffer->ptr + at,
			      next_write_len(log->buffer->ptr + at,
					     log->buffer->len - at));
		if (wrote < 0 && errno == EINTR)
			continue;
		if (wrote <= 0)
			break;
		at += (size_t)wrote;
	}
	/* What the reader did not take is written in the next flush. */
	if (at == log->buffer->len) {
		base_buf_reset(log->buffer);
	} else if (at) {
		memmove(log->buffer->ptr, log->buffer->ptr + at,
			log->buffer->len - at + 1);
		log->buffer->len -= at;
	}
}

static void flush(void *arg)
{
	struct node_log *log = arg;

	log->flush_scheduled = false;
	write_buffer(log);
	if (log->buffer->len) {
		log->flush_scheduled = true;
		net_timer_start(log->timer, LOG_FLUSH_EVERY);
	}
}

struct node_log *node_log_new(const void *ctx, net_loop_t *loop, int fd)
{
	struct node_log *log = talloc_zero(ctx, struct node_log);
	int flags = fcntl(fd, F_GETFL);

	if (flags >= 0)
		fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	log->fd = fd;
	log->buffer = base_buf_new(log);
	log->timer = net_timer_new(log, loop, flush, log);
	return log;
}

/* The text of the second is kept, for the lines that follow in it. */
static void add_time(struct node_log *log, int64_t wall)
{
	time_t seconds = (time_t)(wall / BASE_SEC);
	char micros[] = "000000Z\"";
	int64_t left = wall % BASE_SEC;
	struct tm parts;
	int i;

	if (seconds != log->text_second || !*log->text) {
		log->text_second = seconds;
		gmtime_r(&seconds, &parts);
		strftime(log->text, sizeof(log->text),
			 "{\"time\":\"%Y-%m-%dT%H:%M:%S.", &parts);
	}
	for (i = LOG_MICROS_DIGITS; i-- > 0; left /= 10)
		micros[i] = (char)('0' + left % 10);
	base_buf_adds(log->buffer, log->text);
	base_buf_adds(log->buffer, micros);
}

static void add_field(base_buf_t *line, const base_field_t *field)
{
	base_buf_adds(line, ",\"");
	base_buf_adds(line, field->key);
	base_buf_adds(line, "\":");
	switch (field->kind) {
	case BASE_FIELD_STR:
		base_buf_add_json(line, base_str(field->str));
		break;
	case BASE_FIELD_REAL:
		base_buf_addf(line, "%.6g", field->real);
		break;
	case BASE_FIELD_BOOL:
		base_buf_adds(line, field->num ? "true" : "false");
		break;
	default:
		if (field->num < 0)
			base_buf_add(line, "-", 1);
		base_buf_add_uint(line, field->num < 0 ? -(uint64_t)field->num
						       : (uint64_t)field->num);
		break;
	}
}

static void add_line(struct node_log *log, base_msg_t msg, int64_t wall,
		     const base_field_t *fields, size_t n)
{
	const base_msg_info_t *info = base_msg_info(msg);
	size_t i;

	add_time(log, wall);
	base_buf_addf(log->buffer, ",\"level\":\"%s\",\"msg\":\"%s\"",
		      base_level_name(info->level), info->name);
	for (i = 0; i < n; i++)
		add_field(log->buffer, &fields[i]);
	base_buf_adds(log->buffer, "}\n");
}

static bool is_within_limits(struct node_log *log, base_msg_t msg, int64_t wall)
{
	if (wall / BASE_SEC != log->second) {
		log->second = wall / BASE_SEC;
		memset(log->lines, 0, sizeof(log->lines));
	}
	/* Debug lines, of single tasks, may use only half of the buffer, so
	 * that there is space for lines about jobs and about the state of
	 * other things. */
	return ++log->lines[msg] <= LOG_LINES_PER_SECOND &&
	       log->buffer->len < (base_msg_info(msg)->level == BASE_DEBUG
					   ? LOG_BUFFER_MAX / 2
					   : LOG_BUFFER_MAX);
}

void node_log_fields(node_t *node, base_msg_t msg, const base_field_t *fields,
		     size_t n)
{
	struct node_log *log = node->log;
	int64_t wall = base_clock_wall();

	if (!is_within_limits(log, msg, wall)) {
		log->dropped++;
		node_metrics_count(node, NODE_COUNT_LOG_DROPPED);
		return;
	}
	if (log->dropped > log->dropped_reported) {
		base_field_t lost =
			BASE_F_INT("lines", (int64_t)(log->dropped -
						      log->dropped_reported));

		log->dropped_reported = log->dropped;
		add_line(log, BASE_MSG_LOG_DROPPED, wall, &lost, 1);
	}
	add_line(log, msg, wall, fields, n);
	if (log->buffer->len > LOG_FLUSH_AT)
		write_buffer(log);
	if (!log->flush_scheduled) {
		log->flush_scheduled = true;
		net_timer_start(log->timer, LOG_FLUSH_EVERY);
	}
}

void node_log_flush(node_t *node)
{
	write_buffer(node->log);
}
