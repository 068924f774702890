#include <argtable2.h>
#include <signal.h>

#include "standin_int.h"

#define CONTROL_THREADS "800" /* one for each connection of an entry */
#define LAG_MS 500
#define REBOOT_MS 1000

static void add_zone(standin_t *s, const char *text);
static void add_instances(standin_t *s, int slots);
static struct mg_context *listen_on(int from, int count, const char *threads,
				    void *user);

int main(int argc, char **argv)
{
	struct arg_int *port = arg_int1(
		NULL, "port", "PORT", "first control port, one for each zone");
	struct arg_int *base =
		arg_int1(NULL, "base", "PORT", "port of the first endpoint");
	struct arg_str *zones =
		arg_strn(NULL, "zone", "NAME:COUNT", 1, ZONES_MAX,
			 "zone and its number of instances");
	struct arg_int *rack =
		arg_int0(NULL, "per-rack", "N", "instances in a rack (4)");
	struct arg_int *slots = arg_int0(
		NULL, "slots", "N", "concurrent requests of an instance (8)");
	struct arg_str *threads = arg_str0(NULL, "threads", "N",
					   "connections to endpoints (1500)");
	struct arg_end *end = arg_end(4);
	void *table[] = { port, base, zones, rack, slots, threads, end };
	struct mg_context *control, *endpoints;
	standin_t *s = g_new0(standin_t, 1);
	sigset_t stop;
	int sig;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "standin");
		arg_print_syntax(stderr, table, "\n");
		g_free(s);
		return 2;
	}
	pthread_mutex_init(&s->lock, NULL);
	s->port = port->ival[0];
	s->base_port = base->ival[0];
	s->per_rack = rack->count ? rack->ival[0] : 4;
	s->lag_us = LAG_MS * BASE_MS;
	s->reboot_us = REBOOT_MS * BASE_MS;
	for (int i = 0; i < zones->count; i++)
		add_zone(s, zones->sval[i]);
	add_instances(s, slots->count ? slots->ival[0] : 8);
	sigemptyset(&stop);
	sigaddset(&stop, SIGTERM);
	sigaddset(&stop, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop, NULL);
	mg_init_library(0);
	control = listen_on(s->port, s->zone_count, CONTROL_THREADS, s);
	endpoints = listen_on(s->base_port, s->instance_count,
			      threads->count ? threads->sval[0] : "1500", s);
	if (!control || !endpoints) {
		fprintf(stderr, "standin: a port is in use\n");
		return 1;
	}
	store_serve(control, s);
	fleet_serve(control, s);
	tasks_serve(control, s);
	stall_serve(control, s);
	mg_set_request_handler(endpoints, "/healthz", endpoint_health, s);
	mg_set_request_handler(endpoints, "/", endpoint_request, s);
	printf("standin ready\n");
	fflush(stdout);
	sigwait(&stop, &sig);
	/* Does not wait for open watches and runs. */
	_exit(0);
}

static void add_zone(standin_t *s, const char *text)
{
	zone_t *zone = &s->zones[s->zone_count++];
	const char *colon = strchr(text, ':');

	g_strlcpy(zone->name, text, sizeof(zone->name));
	if (!colon)
		return;
	zone->name[colon - text] = '\0';
	zone->instances = atoi(colon + 1);
	s->instance_count += zone->instances;
}

static void add_instances(standin_t *s, int slots)
{
	int at = 0;

	s->instances = g_new0(instance_t, (gsize)s->instance_count);
	for (int z = 0; z < s->zone_count; z++)
		for (int i = 0; i < s->zones[z].instances; i++) {
			instance_t *instance = &s->instances[at++];

			instance->zone = z;
			instance->rack = i / s->per_rack;
			instance->slots = slots;
			instance->incarnation = 1;
			instance->listed_incarnation = 1;
			snprintf(instance->id, sizeof(instance->id),
				 "%.32s-%03d", s->zones[z].name, i);
		}
}

static struct mg_context *listen_on(int from, int count, const char *threads,
				    void *user)
{
	base_buf_t *ports = base_buf_new(NULL);
	const char *options[] = { "listening_ports",
				  NULL,
				  "num_threads",
				  threads,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "60000",
				  "tcp_nodelay",
				  "1",
				  "connection_queue",
				  "2000",
				  "listen_backlog",
				  "1000",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *ctx;

	for (int i = 0; i < count; i++)
		base_buf_addf(ports, "%s127.0.0.1:%d", i ? "," : "", from + i);
	options[1] = ports->ptr;
	ctx = mg_start(&callbacks, user, options);
	talloc_free(ports);
	return ctx;
}
