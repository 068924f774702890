#include <civetweb.h>
#include <pthread.h>

#include "plat.h"

#define SLICE(name)                                                        \
	"{\"metadata\":{\"name\":\"" name "\"},\"ports\":[{\"port\":80}]," \
	"\"endpoints\":[{\"addresses\":[\"127.0.0.1\"],\"zone\":\"z\","    \
	"\"targetRef\":{\"name\":\"" name "\",\"uid\":\"1\"}}]}"
#define ONE \
	"{\"metadata\":{\"resourceVersion\":\"1\"},\"items\":[" SLICE("a") "]}"
#define TWO                                                            \
	"{\"metadata\":{\"resourceVersion\":\"2\"},\"items\":[" SLICE( \
		"a") "," SLICE("b") "]}"

/* An API server: the list, and watches that end at once. */
static struct {
	struct mg_context *http;
	pthread_mutex_t lock; /* guards everything below */
	const char *list;     /* NULL: the request fails */
	int watch_status;
	int n_watches;
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

static int on_request(struct mg_connection *conn, void *arg)
{
	const char *query = mg_get_request_info(conn)->query_string;
	const char *body;
	int status;

	(void)arg;
	pthread_mutex_lock(&server.lock);
	body = query ? "" : server.list;
	status = query ? server.watch_status : body ? 200 : 500;
	server.n_watches += query != NULL;
	pthread_mutex_unlock(&server.lock);
	mg_printf(conn, "HTTP/1.1 %d Answer\r\nContent-Length: %zu\r\n\r\n%s",
		  status, strlen(body ? body : ""), body ? body : "");
	return status;
}

static void set_answers(const char *list, int watch_status)
{
	pthread_mutex_lock(&server.lock);
	server.list = list;
	server.watch_status = watch_status;
	server.n_watches = 0;
	pthread_mutex_unlock(&server.lock);
}

static int count_watches(void)
{
	int n;

	pthread_mutex_lock(&server.lock);
	n = server.n_watches;
	pthread_mutex_unlock(&server.lock);
	return n;
}

static plat_list_t *new_client(void)
{
	struct mg_server_port port;
	plat_address_t address = { .host = "127.0.0.1" };

	mg_get_server_ports(server.http, 1, &port);
	address.port = port.port;
	return plat_slices_new(NULL, &address);
}

static bool follow(plat_list_t *list, bool *changed)
{
	*changed = false;
	return list->ops->follow(list, changed, NULL);
}

/* The number of instances; -1: they could not be read. */
static int count_instances(plat_list_t *list)
{
	plat_instances_t instances = { 0 };
	int n = -1;

	if (list->ops->read(list, list, NULL, &instances, NULL))
		n = (int)instances.count;
	return n;
}

/* Guards against an entry that refuses every request, as it knows no endpoint:
 * another thread read the list before the one that follows it. */
static void test_read_before_the_first_follow(void)
{
	plat_list_t *list = new_client();
	bool changed;

	set_answers(ONE, 200);
	g_assert_cmpint(count_instances(list), ==, 1);
	g_assert_true(follow(list, &changed));
	g_assert_true(changed);
	g_assert_cmpint(count_watches(), ==, 0);
	g_assert_true(follow(list, &changed));
	g_assert_false(changed);
	g_assert_cmpint(count_watches(), ==, 1);
	talloc_free(list);
}

/* Guards against endpoints that an entry does not learn of: after a watch that
 * failed, another thread read the list before the one that follows it. */
static void test_read_after_a_failed_watch(void)
{
	plat_list_t *list = new_client();
	bool changed;

	set_answers(ONE, 200);
	g_assert_true(follow(list, &changed));
	g_assert_true(changed);
	set_answers(TWO, 500);
	g_assert_false(follow(list, &changed));
	g_assert_cmpint(count_instances(list), ==, 2);
	set_answers(TWO, 200);
	g_assert_true(follow(list, &changed));
	g_assert_true(changed);
	talloc_free(list);
}

/* Guards against a change that is lost: it was reported, and the read that
 * followed failed. */
static void test_failed_read(void)
{
	plat_list_t *list = new_client();
	bool changed;

	set_answers(ONE, 200);
	g_assert_true(follow(list, &changed));
	g_usleep(PLAT_LIST_FRESH_US);
	set_answers(NULL, 200);
	g_assert_cmpint(count_instances(list), ==, -1);
	set_answers(TWO, 200);
	g_assert_true(follow(list, &changed));
	g_assert_true(changed);
	g_assert_cmpint(count_instances(list), ==, 2);
	talloc_free(list);
}

int main(int argc, char **argv)
{
	const char *options[] = { "listening_ports", "127.0.0.1:0",
				  "num_threads", "2", NULL };
	int status;

	g_test_init(&argc, &argv, NULL);
	mg_init_library(0);
	server.http = mg_start(NULL, NULL, options);
	g_assert_nonnull(server.http);
	mg_set_request_handler(server.http, "/", on_request, NULL);
	g_test_add_func("/slices/read-before-the-first-follow",
			test_read_before_the_first_follow);
	g_test_add_func("/slices/read-after-a-failed-watch",
			test_read_after_a_failed_watch);
	g_test_add_func("/slices/failed-read", test_failed_read);
	status = g_test_run();
	mg_stop(server.http);
	mg_exit_library();
	return status;
}
