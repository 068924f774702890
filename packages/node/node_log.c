/*
 * Lines are gathered and written together; a reader that does not read costs
 * lines, which are counted, and never time.
 */
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <time.h>
#include <unistd.h>

#include "node_int.h"

#define LOG_FLUSH_EVERY (100 * BASE_MS) /* one write for many lines */
#define LOG_FLUSH_AT (16 << 10)		/* bytes; a quarter of what is held */
#define LOG_HELD_MAX (64 << 10) /* bytes held before lines are dropped */
/* Of one message a second: 350 workers start some 700 tasks a second on the
 * mean; a line costs 2 us. */
#define LOG_LINES_MAX 1000

struct node_log {
	int fd;
	base_buf_t *held;
	net_timer_t *timer;
	bool flushing;
	int64_t second;
	uint32_t lines[BASE_MSG_MAX]; /* of this second */
	uint64_t dropped;
	uint64_t dropped_told;
};

/* Whole lines that a pipe takes at once; a longer line goes by itself. */
static size_t next_piece(const char *text, size_t len)
{
	size_t piece = 0;
	const char *end;

	while ((end = memchr(text + piece, '\n', len - piece)) != NULL) {
		size_t with = (size_t)(end - text) + 1;

		if (with > PIPE_BUF)
			return piece ? piece : with;
		piece = with;
	}
	return piece ? piece : len;
}

static void write_held(struct node_log *log)
{
	size_t at = 0;
	ssize_t wrote;

	while (at < log->held->len) {
		wrote = write(
			log->fd, log->held->ptr + at,
			next_piece(log->held->ptr + at, log->held->len - at));
		if (wrote < 0 && errno == EINTR)
			continue;
		if (wrote <= 0)
			break;
		at += (size_t)wrote;
	}
	/* What a slow reader left waits for the next round. */
	if (at == log->held->len) {
		base_buf_reset(log->held);
	} else if (at) {
		memmove(log->held->ptr, log->held->ptr + at,
			log->held->len - at + 1);
		log->held->len -= at;
	}
}

static void flush_due(void *arg)
{
	struct node_log *log = arg;

	log->flushing = false;
	write_held(log);
	if (log->held->len) {
		log->flushing = true;
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
	log->held = base_buf_new(log);
	log->timer = net_timer_new(log, loop, flush_due, log);
	return log;
}

static void add_time(base_buf_t *line, int64_t wall)
{
	time_t seconds = (time_t)(wall / BASE_SEC);
	struct tm parts;
	char text[32];

	gmtime_r(&seconds, &parts);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
	base_buf_addf(line, "{\"time\":\"%s.%06dZ\"", text,
		      (int)(wall % BASE_SEC));
}

static void add_field(base_buf_t *line, const base_field_t *field)
{
	base_buf_addf(line, ",\"%s\":", field->key);
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
		base_buf_addf(line, "%lld", (long long)field->num);
		break;
	}
}

static void add_line(struct node_log *log, base_msg_t msg, int64_t wall,
		     const base_field_t *fields, size_t n)
{
	const base_msg_info_t *info = base_msg_info(msg);
	size_t i;

	add_time(log->held, wall);
	base_buf_addf(log->held, ",\"level\":\"%s\",\"msg\":\"%s\"",
		      base_level_name(info->level), info->name);
	for (i = 0; i < n; i++)
		add_field(log->held, &fields[i]);
	base_buf_adds(log->held, "}\n");
}

static bool within_bounds(struct node_log *log, base_msg_t msg, int64_t wall)
{
	if (wall / BASE_SEC != log->second) {
		log->second = wall / BASE_SEC;
		memset(log->lines, 0, sizeof(log->lines));
	}
	/* Lines of single tasks leave room for those of jobs and beliefs. */
	return ++log->lines[msg] <= LOG_LINES_MAX &&
	       log->held->len < (base_msg_info(msg)->level == BASE_DEBUG
					 ? LOG_HELD_MAX / 2
					 : LOG_HELD_MAX);
}

void node_log_fields(node_t *node, base_msg_t msg, const base_field_t *fields,
		     size_t n)
{
	struct node_log *log = node->log;
	int64_t wall = base_clock_wall();

	if (!within_bounds(log, msg, wall)) {
		log->dropped++;
		node_count(node, NODE_COUNT_LOG_DROPPED);
		return;
	}
	if (log->dropped > log->dropped_told) {
		base_field_t lost = BASE_F_INT(
			"lines", (int64_t)(log->dropped - log->dropped_told));

		log->dropped_told = log->dropped;
		add_line(log, BASE_MSG_LOG_DROPPED, wall, &lost, 1);
	}
	add_line(log, msg, wall, fields, n);
	if (log->held->len > LOG_FLUSH_AT)
		write_held(log);
	if (!log->flushing) {
		log->flushing = true;
		net_timer_start(log->timer, LOG_FLUSH_EVERY);
	}
}

void node_log_flush(node_t *node)
{
	write_held(node->log);
}
