#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer_int.h"

#define IDLE_MAX 4 /* idle connections kept for one address */
/* A connection that is idle for longer is closed. */
#define IDLE_TIMEOUT_US (10 * BASE_SEC)
/* Limit of addresses that have idle connections. */
#define ADDRS_MAX 1024

typedef struct idle_conn {
	CLIENT *client;
	int64_t since_us;
} idle_conn_t;

/* Idle connections to one address, the most recently used last. */
typedef struct idle_list {
	idle_conn_t conns[IDLE_MAX];
	size_t n;
} idle_list_t;

struct peer_pool {
	peer_addr_t addr; /* calls are sent from its IP address */
	pthread_mutex_t lock;
	GHashTable *idle_lists; /* packed address to idle_list_t */
	int datagram_fd;	/* -1 until the first use */
	_Atomic uint32_t xid;
};

static int free_pool(peer_pool_t *pool);
static void free_idle_list(gpointer data);
static gint64 addr_key(peer_addr_t addr);
static CLIENT *take_idle(peer_pool_t *pool, peer_addr_t addr);
static bool is_reusable(CLIENT *client);
static CLIENT *dial(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us);
static int connect_with_timeout(const struct sockaddr_in *from,
				const struct sockaddr_in *to,
				int64_t timeout_us);
static bool finish_connect(int fd, int64_t timeout_us);
static int bound_socket(const struct sockaddr_in *from, int type);
static bool open_datagram_socket(peer_pool_t *pool);
static void close_expired(peer_pool_t *pool, int64_t now);

peer_pool_t *peer_pool_new(const void *ctx, peer_addr_t addr)
{
	peer_pool_t *pool = talloc_zero(ctx, peer_pool_t);

	pool->addr = addr;
	pthread_mutex_init(&pool->lock, NULL);
	pool->datagram_fd = -1;
	pool->idle_lists = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, free_idle_list);
	talloc_set_destructor(pool, free_pool);
	return pool;
}

CLIENT *peer_pool_take(peer_pool_t *pool, peer_addr_t addr, int64_t timeout_us)
{
	CLIENT *client;

	while ((client = take_idle(pool, addr))) {
		if (is_reusable(client))
			return client;
		clnt_destroy(client);
	}
	return dial(pool, addr, timeout_us);
}

void peer_pool_give(peer_pool_t *pool, peer_addr_t addr, CLIENT *client,
		    bool reusable)
{
	int64_t now = base_clock_mono();
	gint64 key = addr_key(addr);
	idle_list_t *list;

	if (reusable) {
		pthread_mutex_lock(&pool->lock);
		close_expired(pool, now);
		list = g_hash_table_lookup(pool->idle_lists, &key);
		if (!list && g_hash_table_size(pool->idle_lists) < ADDRS_MAX) {
			list = g_new0(idle_list_t, 1);
			g_hash_table_insert(pool->idle_lists,
					    g_memdup2(&key, sizeof(key)), list);
		}
		if (list && list->n < IDLE_MAX) {
			list->conns[list->n++] = (idle_conn_t){ client, now };
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
	if (len && open_datagram_socket(pool))
		sent = sendto(pool->datagram_fd, buf, len, MSG_DONTWAIT,
			      (struct sockaddr *)&to, sizeof(to));
	return sent == (ssize_t)len && len;
}

static int free_pool(peer_pool_t *pool)
{
	g_hash_table_destroy(pool->idle_lists);
	if (pool->datagram_fd >= 0)
		close(pool->datagram_fd);
	pthread_mutex_destroy(&pool->lock);
	return 0;
}

static void free_idle_list(gpointer data)
{
	idle_list_t *list = data;

	for (size_t i = 0; i < list->n; i++)
		clnt_destroy(list->conns[i].client);
	g_free(list);
}

static gint64 addr_key(peer_addr_t addr)
{
	return (gint64)addr.ip << 16 | addr.port;
}

static CLIENT *take_idle(peer_pool_t *pool, peer_addr_t addr)
{
	gint64 key = addr_key(addr);
	CLIENT *client = NULL;
	idle_list_t *list;

	pthread_mutex_lock(&pool->lock);
	list = g_hash_table_lookup(pool->idle_lists, &key);
	if (list && list->n)
		client = list->conns[--list->n].client;
	pthread_mutex_unlock(&pool->lock);
	return client;
}

/*
 * An idle connection that is readable was closed by the other end or holds a
 * late reply to an earlier call.  It must not be used in either case.
 */
static bool is_reusable(CLIENT *client)
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
	fd = connect_with_timeout(&from, &to, timeout_us);
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

static int connect_with_timeout(const struct sockaddr_in *from,
				const struct sockaddr_in *to,
				int64_t timeout_us)
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
	int error = 0;

	if (poll(&pfd, 1, (int)(timeout_us / BASE_MS)) != 1)
		return false;
	return !getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) && !error;
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
 * Open the datagram socket on first use.  libtirpc's datagram client always
 * waits for a reply, so only its XDR functions are used.
 */
static bool open_datagram_socket(peer_pool_t *pool)
{
	struct sockaddr_in from;
	bool is_open;

	pthread_mutex_lock(&pool->lock);
	if (pool->datagram_fd < 0) {
		peer_addr_sockaddr((peer_addr_t){ pool->addr.ip, 0 }, &from);
		pool->datagram_fd = bound_socket(&from, SOCK_DGRAM);
	}
	is_open = pool->datagram_fd >= 0;
	pthread_mutex_unlock(&pool->lock);
	return is_open;
}

/* Close expired idle connections.  The oldest of a list come first. */
static void close_expired(peer_pool_t *pool, int64_t now)
{
	GHashTableIter iter;
	gpointer value;
	size_t expired;

	g_hash_table_iter_init(&iter, pool->idle_lists);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		idle_list_t *list = value;

		for (expired = 0; expired < list->n; expired++) {
			if (now - list->conns[expired].since_us <
			    IDLE_TIMEOUT_US)
				break;
			clnt_destroy(list->conns[expired].client);
		}
		list->n -= expired;
		memmove(list->conns, list->conns + expired,
			list->n * sizeof(list->conns[0]));
	}
}
