#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer_int.h"

#define IDLE_MAX 4		 /* connections kept for one address */
#define IDLE_AGE (10 * BASE_SEC) /* after which one is closed */
#define ADDRS_MAX 1024		 /* addresses with idle connections */

typedef struct idle {
	CLIENT *client;
	int64_t since;
} idle_t;

/* Idle connections to one address, the latest used last. */
typedef struct bundle {
	idle_t idle[IDLE_MAX];
	size_t n;
} bundle_t;

struct peer_pool {
	peer_addr_t addr; /* from which we call */
	pthread_mutex_t lock;
	GHashTable *bundles; /* packed address to bundle_t */
	int datagram_fd;     /* -1 before the first use */
	_Atomic uint32_t xid;
};

static int free_pool(peer_pool_t *pool);
static void free_bundle(gpointer data);
static gint64 key_of(peer_addr_t addr);
static CLIENT *take_idle(peer_pool_t *pool, peer_addr_t addr);
static bool still_open(CLIENT *client);
static CLIENT *dial(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us);
static int connect_in_time(const struct sockaddr_in *from,
			   const struct sockaddr_in *to, int64_t timeout_us);
static bool finish_connect(int fd, int64_t timeout_us);
static int bound_socket(const struct sockaddr_in *from, int type);
static bool datagram_socket(peer_pool_t *pool);
static void reap(peer_pool_t *pool, int64_t now);

peer_pool_t *peer_pool_new(const void *ctx, peer_addr_t addr)
{
	peer_pool_t *pool = talloc_zero(ctx, peer_pool_t);

	pool->addr = addr;
	pthread_mutex_init(&pool->lock, NULL);
	pool->datagram_fd = -1;
	pool->bundles = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, free_bundle);
	talloc_set_destructor(pool, free_pool);
	return pool;
}

CLIENT *peer_pool_take(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us)
{
	CLIENT *client;

	while ((client = take_idle(pool, addr))) {
		if (still_open(client))
			return client;
		clnt_destroy(client);
	}
	return dial(pool, addr, timeout_us);
}

void peer_pool_give(peer_pool_t *pool, peer_addr_t addr, CLIENT *client,
		    bool whole)
{
	int64_t now = base_clock_mono();
	gint64 key = key_of(addr);
	bundle_t *bundle;

	if (whole) {
		pthread_mutex_lock(&pool->lock);
		reap(pool, now);
		bundle = g_hash_table_lookup(pool->bundles, &key);
		if (!bundle && g_hash_table_size(pool->bundles) < ADDRS_MAX) {
			bundle = g_new0(bundle_t, 1);
			g_hash_table_insert(pool->bundles,
					    g_memdup2(&key, sizeof(key)),
					    bundle);
		}
		if (bundle && bundle->n < IDLE_MAX) {
			bundle->idle[bundle->n++] = (idle_t){ client, now };
			client = NULL;
		}
		pthread_mutex_unlock(&pool->lock);
	}
	if (client)
		clnt_destroy(client);
}

bool peer_pool_send(peer_pool_t *pool, peer_addr_t addr, peer_sealed *sealed)
{
	char buf[PEER_DATAGRAM_MAX];
	struct rpc_msg msg = { 0 };
	struct sockaddr_in to;
	ssize_t sent = -1;
	size_t len = 0;
	XDR xdrs;

	msg.rm_xid = atomic_fetch_add(&pool->xid, 1);
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = PEER_PROG;
	msg.rm_call.cb_vers = PEER_VERS;
	msg.rm_call.cb_proc = PEER_RPC_SEALED;
	xdrmem_create(&xdrs, buf, sizeof(buf), XDR_ENCODE);
	if (xdr_callmsg(&xdrs, &msg) && xdr_peer_sealed(&xdrs, sealed))
		len = xdr_getpos(&xdrs);
	xdr_destroy(&xdrs);
	peer_addr_sockaddr(addr, &to);
	if (len && datagram_socket(pool))
		sent = sendto(pool->datagram_fd, buf, len, MSG_DONTWAIT,
			      (struct sockaddr *)&to, sizeof(to));
	return sent == (ssize_t)len && len;
}

static int free_pool(peer_pool_t *pool)
{
	g_hash_table_destroy(pool->bundles);
	if (pool->datagram_fd >= 0)
		close(pool->datagram_fd);
	pthread_mutex_destroy(&pool->lock);
	return 0;
}

static void free_bundle(gpointer data)
{
	bundle_t *bundle = data;

	for (size_t i = 0; i < bundle->n; i++)
		clnt_destroy(bundle->idle[i].client);
	g_free(bundle);
}

static gint64 key_of(peer_addr_t addr)
{
	return (gint64)addr.ip << 16 | addr.port;
}

static CLIENT *take_idle(peer_pool_t *pool, peer_addr_t addr)
{
	gint64 key = key_of(addr);
	CLIENT *client = NULL;
	bundle_t *bundle;

	pthread_mutex_lock(&pool->lock);
	bundle = g_hash_table_lookup(pool->bundles, &key);
	if (bundle && bundle->n)
		client = bundle->idle[--bundle->n].client;
	pthread_mutex_unlock(&pool->lock);
	return client;
}

/*
 * An idle connection that can be read was closed by the other end, or holds
 * an answer that nobody waits for: either way it must not be used.
 */
static bool still_open(CLIENT *client)
{
	struct pollfd pfd = { .events = POLLIN };

	if (!clnt_control(client, CLGET_FD, (char *)&pfd.fd))
		return false;
	return poll(&pfd, 1, 0) == 0;
}

static CLIENT *dial(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us)
{
	struct sockaddr_in from, to;
	struct netbuf svc = { sizeof(to), sizeof(to), &to };
	CLIENT *client;
	int fd;

	peer_addr_sockaddr((peer_addr_t){ pool->addr.ip, 0 }, &from);
	peer_addr_sockaddr(addr, &to);
	fd = connect_in_time(&from, &to, timeout_us);
	if (fd < 0)
		return NULL;
	client = clnt_vc_create(fd, &svc, PEER_PROG, PEER_VERS, 0, 0);
	if (!client) {
		close(fd);
		return NULL;
	}
	clnt_control(client, CLSET_FD_CLOSE, NULL);
	return client;
}

static int connect_in_time(const struct sockaddr_in *from,
			   const struct sockaddr_in *to, int64_t timeout_us)
{
	int fd = bound_socket(from, SOCK_STREAM);
	int flags;

	if (fd < 0)
		return -1;
	flags = fcntl(fd, F_GETFL);
	fcntl(fd, F_SETFL, flags | O_NONBLOCK);
	if ((connect(fd, (const struct sockaddr *)to, sizeof(*to)) &&
	     errno != EINPROGRESS) ||
	    !finish_connect(fd, timeout_us)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, flags);
	return fd;
}

static bool finish_connect(int fd, int64_t timeout_us)
{
	struct pollfd pfd = { .fd = fd, .events = POLLOUT };
	socklen_t len = sizeof(int);
	int failed = 0;

	if (poll(&pfd, 1, (int)(timeout_us / BASE_MS)) != 1)
		return false;
	return !getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &len) && !failed;
}

static int bound_socket(const struct sockaddr_in *from, int type)
{
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (const struct sockaddr *)from, sizeof(*from))) {
		close(fd);
		return -1;
	}
	return fd;
}

/*
 * Open the socket for datagrams, once.  The library's client for datagrams
 * always waits for an answer, so that only its codecs are used here.
 */
static bool datagram_socket(peer_pool_t *pool)
{
	struct sockaddr_in from;
	bool open;

	pthread_mutex_lock(&pool->lock);
	if (pool->datagram_fd < 0) {
		peer_addr_sockaddr((peer_addr_t){ pool->addr.ip, 0 }, &from);
		pool->datagram_fd = bound_socket(&from, SOCK_DGRAM);
	}
	open = pool->datagram_fd >= 0;
	pthread_mutex_unlock(&pool->lock);
	return open;
}

/* Close what was idle for too long; a bundle's oldest come first. */
static void reap(peer_pool_t *pool, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	size_t old;

	g_hash_table_iter_init(&iter, pool->bundles);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		bundle_t *bundle = value;

		for (old = 0; old < bundle->n; old++) {
			if (now - bundle->idle[old].since < IDLE_AGE)
				break;
			clnt_destroy(bundle->idle[old].client);
		}
		bundle->n -= old;
		memmove(bundle->idle, bundle->idle + old,
			bundle->n * sizeof(bundle->idle[0]));
	}
}
