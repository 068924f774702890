/*
 * The end of a planned stop.  The entry runs in a child process, which lives on
 * after its loop has ended until the test has looked at its connections.
 */
#include <arpa/inet.h>
#include <fcntl.h>
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
	.operator_prefix = "op/",
	.wave_prefix = "op/wave/",
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

static char *write_settings(const int *ports)
{
	char *file = NULL;
	int fd = g_file_open_tmp("node-stop-XXXXXX", &file, NULL);
	char *text = g_strdup_printf(
		"{\"name\": \"edge-1\", \"availability_zone\": \"z1\",\n"
		"\"callers\": \"127.0.0.1:%d\", \"ready\": \"127.0.0.1:%d\",\n"
		"\"peers\": \"127.0.0.1:%d\", \"metrics\": \"127.0.0.1:%d\",\n"
		"\"store\": \"127.0.0.1:1\", \"instances\": \"127.0.0.1:1\"}\n",
		ports[0], ports[1], ports[2], ports[3]);

	g_assert_cmpint(fd, >=, 0);
	close(fd);
	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	g_free(text);
	return file;
}

/* Runs an entry in a child process, which writes a byte to "ended" once its
 * loop has ended, and then waits to be killed. */
static pid_t start_entry(const char *file, int ended)
{
	node_options_t options = { .platform = &fake_platform,
				   .settings_file = file,
				   .log_fd = open("/dev/null", O_WRONLY) };
	pid_t pid = fork();

	g_assert_cmpint(pid, >=, 0);
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (node_run(&options) == EXIT_SUCCESS)
		(void)!write(ended, "x", 1);
	for (;;)
		pause();
}

static int connect_patiently(int port)
{
	int fd;

	while ((fd = connect_to(port)) < 0)
		g_usleep(CONNECT_DELAY_US);
	return fd;
}

/* Guards against an answer that never comes: while the process leaves, which
 * takes long on a busy machine, its host took requests that nobody read. */
static void test_connections_are_closed_with_the_loop(void)
{
	static const char ask[] = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
	char answer[512];
	int ports[4];
	int ended[2];
	char *file;
	pid_t pid;
	int kept;
	int i;

	unused_ports(ports, 4);
	file = write_settings(ports);
	g_assert_cmpint(pipe(ended), ==, 0);
	pid = start_entry(file, ended[1]);
	alarm(HANG_TIMEOUT_S);
	kept = connect_patiently(ports[0]);
	g_assert_cmpint(send(kept, ask, strlen(ask), 0), ==, strlen(ask));
	g_assert_cmpint(recv(kept, answer, sizeof(answer), 0), >, 12);
	g_assert_cmpint(memcmp(answer, "HTTP/1.1 503", 12), ==, 0);
	g_assert_cmpint(kill(pid, SIGTERM), ==, 0);
	g_assert_cmpint(read(ended[0], answer, 1), ==, 1);
	g_assert_cmpint(recv(kept, answer, sizeof(answer), MSG_DONTWAIT), ==,
			0);
	for (i = 0; i < 4; i++)
		g_assert_cmpint(connect_to(ports[i]), ==, -1);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	alarm(0);
	close(kept);
	close(ended[0]);
	close(ended[1]);
	unlink(file);
	g_free(file);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-stop/connections-are-closed-with-the-loop",
			test_connections_are_closed_with_the_loop);
	return g_test_run();
}
