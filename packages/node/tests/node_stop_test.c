/*
 * The end of a planned stop.  The entry runs in a child process, which lives on
 * after its loop has ended until the test has looked at its connections.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "node_int.h"

/* Tests wait for events, not for a time; this only ends a test that hangs. */
#define HANG_TIMEOUT_S 30
#define CONNECT_DELAY_US 10000

/* The store never answers. */
static node_store_t *fake_store_new(const void *ctx, net_loop_t *loop,
				    const char *address)
{
	(void)loop;
	(void)address;
	return talloc_size(ctx, 1);
}

static void fake_get(node_store_t *store, const char *key,
		     node_answered_t *done, void *arg)
{
	(void)store;
	(void)key;
	(void)done;
	(void)arg;
}

static void fake_list(node_store_t *store, const char *prefix,
		      const char *after, bool stale, node_answered_t *done,
		      void *arg)
{
	(void)store;
	(void)prefix;
	(void)after;
	(void)stale;
	(void)done;
	(void)arg;
}

static void fake_watch(node_store_t *store, const char *prefix, int64_t after,
		       int64_t wait, node_answered_t *done, void *arg)
{
	(void)store;
	(void)prefix;
	(void)after;
	(void)wait;
	(void)done;
	(void)arg;
}

static void fake_change(node_store_t *store, const node_change_t *change,
			node_answered_t *done, void *arg)
{
	(void)store;
	(void)change;
	(void)done;
	(void)arg;
}

static void fake_lease(node_store_t *store, int64_t ttl, node_answered_t *done,
		       void *arg)
{
	(void)store;
	(void)ttl;
	(void)done;
	(void)arg;
}

static const node_platform_t fake_platform = {
	.config_key = "config",
	.operator_prefix = "operator/",
	.wave_prefix = "operator/wave/",
	.store_new = fake_store_new,
	.get = fake_get,
	.list = fake_list,
	.watch = fake_watch,
	.change = fake_change,
	.lease = fake_lease,
};

static int connect_to(int port)
{
	struct sockaddr_in addr = { .sin_family = AF_INET,
				    .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Ports chosen by the kernel on which nothing listens. */
static void unused_ports(int *ports, int n)
{
	int fds[8];
	int i;

	for (i = 0; i < n; i++) {
		struct sockaddr_in addr = { .sin_family = AF_INET };
		socklen_t len = sizeof(addr);

		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		g_assert_cmpint(bind(fds[i], (struct sockaddr *)&addr, len), ==,
				0);
		getsockname(fds[i], (struct sockaddr *)&addr, &len);
		ports[i] = ntohs(addr.sin_port);
	}
	for (i = 0; i < n; i++)
		close(fds[i]);
}

/* An entry in a child process, and what the test has of it. */
typedef struct entry {
	pid_t pid;
	int ports[4]; /* the first one is for callers */
	int log;
	int ended; /* gets a byte once the loop has ended */
	char *file;
} entry_t;

static char *write_settings(const int *ports, int grace_s)
{
	char *file = NULL;
	int fd = g_file_open_tmp("node-stop-XXXXXX", &file, NULL);
	char *text = g_strdup_printf(
		"{\"name\": \"edge-1\", \"availability_zone\": \"z1\",\n"
		"\"callers\": \"127.0.0.1:%d\", \"ready\": \"127.0.0.1:%d\",\n"
		"\"peers\": \"127.0.0.1:%d\", \"metrics\": \"127.0.0.1:%d\",\n"
		"\"store\": \"127.0.0.1:1\", \"instances\": \"127.0.0.1:1\",\n"
		"\"grace_s\": %d}\n",
		ports[0], ports[1], ports[2], ports[3], grace_s);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	g_free(text);
	return file;
}

static void entry_start(entry_t *entry, int grace_s)
{
	node_options_t options = { .platform = &fake_platform };
	int log[2];
	int ended[2];

	unused_ports(entry->ports, 4);
	entry->file = write_settings(entry->ports, grace_s);
	g_assert_cmpint(pipe(log), ==, 0);
	g_assert_cmpint(pipe(ended), ==, 0);
	alarm(HANG_TIMEOUT_S);
	entry->pid = fork();
	g_assert_cmpint(entry->pid, >=, 0);
	if (!entry->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		options.settings_file = entry->file;
		options.log_fd = log[1];
		if (node_run(&options) == EXIT_SUCCESS)
			(void)!write(ended[1], "x", 1);
		for (;;)
			pause();
	}
	close(log[1]);
	close(ended[1]);
	entry->log = log[0];
	entry->ended = ended[0];
}

static void entry_end(entry_t *entry)
{
	kill(entry->pid, SIGKILL);
	waitpid(entry->pid, NULL, 0);
	alarm(0);
	close(entry->log);
	close(entry->ended);
	unlink(entry->file);
	g_free(entry->file);
}

/* Reads the log up to a line with this message. */
static void await_log(const entry_t *entry, const char *msg)
{
	GString *text = g_string_new(NULL);
	char byte;

	while (!strstr(text->str, msg)) {
		g_assert_cmpint(read(entry->log, &byte, 1), ==, 1);
		g_string_append_c(text, byte);
	}
	g_string_free(text, TRUE);
}

static int connect_patiently(const entry_t *entry)
{
	int fd;

	while ((fd = connect_to(entry->ports[0])) < 0)
		g_usleep(CONNECT_DELAY_US);
	return fd;
}

static void send_request(int fd)
{
	static const char request[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

	g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
			strlen(request));
}

/* Without a configuration the answer to each request is 503. */
static void assert_answered(int fd)
{
	char answer[512] = "";

	g_assert_cmpint(recv(fd, answer, sizeof(answer) - 1, 0), >, 12);
	answer[12] = '\0';
	g_assert_cmpstr(answer, ==, "HTTP/1.1 503");
}

/* Guards against an answer that never comes: while the process leaves, which
 * takes long on a busy machine, its host took requests that nobody read. */
static void test_connections_are_closed_with_the_loop(void)
{
	entry_t entry;
	char byte;
	int kept;
	size_t i;

	entry_start(&entry, 6);
	kept = connect_patiently(&entry);
	send_request(kept);
	assert_answered(kept);
	g_assert_cmpint(kill(entry.pid, SIGTERM), ==, 0);
	g_assert_cmpint(read(entry.ended, &byte, 1), ==, 1);
	g_assert_cmpint(recv(kept, &byte, 1, MSG_DONTWAIT), ==, 0);
	for (i = 0; i < ARRAY_SIZE(entry.ports); i++)
		g_assert_cmpint(connect_to(entry.ports[i]), ==, -1);
	close(kept);
	entry_end(&entry);
}

/* Guards against an answer that never comes: a process that was paused over the
 * end of its grace period left without a look at its connections. */
static void test_requests_of_a_pause_are_answered(void)
{
	entry_t entry;
	int kept;
	int new;

	entry_start(&entry, 3);
	kept = connect_patiently(&entry);
	send_request(kept);
	assert_answered(kept);
	g_assert_cmpint(kill(entry.pid, SIGTERM), ==, 0);
	await_log(&entry, "\"draining\"");
	g_assert_cmpint(kill(entry.pid, SIGSTOP), ==, 0);
	new = connect_patiently(&entry);
	send_request(kept);
	send_request(new);
	g_usleep(3 * G_USEC_PER_SEC);
	g_assert_cmpint(kill(entry.pid, SIGCONT), ==, 0);
	assert_answered(kept);
	assert_answered(new);
	close(kept);
	close(new);
	entry_end(&entry);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-stop/connections-are-closed-with-the-loop",
			test_connections_are_closed_with_the_loop);
	g_test_add_func("/node-stop/requests-of-a-pause-are-answered",
			test_requests_of_a_pause_are_answered);
	return g_test_run();
}
