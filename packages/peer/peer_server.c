#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <rpc/rpc.h>
#include <rpc/rpc_com.h>

#include "peer_int.h"

#define BACKLOG 128	 /* pending connections */
#define LIFE_PER_SEC 100 /* limit on PEER_LIFE datagrams sent */
#define READ_BUF 8192	 /* bytes of each buffer of a connection */

struct peer_server {
	peer_t *peer;
	peer_replay_t *replay;
	int stop_fd;
	pthread_t thread;
	SVCXPRT *datagram;
	SVCXPRT *listener;
	int64_t life_second; /* monotonic second that life_sent counts */
	/* PEER_LIFE datagrams due in life_second, sent or dropped. */
	int life_sent;
};

/*
 * The server of this process.  libtirpc keeps its state per process and passes
 * no user argument to dispatch().
 */
static _Atomic(peer_server_t *) serving;

static int free_server(peer_server_t *server);
static bool open_sockets(peer_server_t *server, GError **err);
static int bind_socket(peer_addr_t addr, int type);
static void *run_server(void *arg);
static size_t copy_poll_set(peer_server_t *server, struct pollfd **fds);
static void close_connections(void);
static void dispatch(struct svc_req *req, SVCXPRT *xprt);
static void handle_sealed(peer_server_t *server, SVCXPRT *xprt,
			  peer_sealed *sealed);
static bool check_head(peer_server_t *server, const peer_call_head *head);
static peer_wire_status check_freshness(peer_server_t *server,
					const peer_call_head *head,
					uint64_t *from_life);
static peer_wire_status run_handler(peer_server_t *server,
				    const peer_call_head *head, XDR *xdrs,
				    const peer_sealed *sealed, void *res);
static void send_reply(peer_server_t *server, SVCXPRT *xprt,
		       const peer_call_head *head, peer_reply_head *reply,
		       void *res);
static void send_life(peer_server_t *server, const peer_call_head *head);
static bool handle_life(void *arg, const peer_sender_t *from, const void *args,
			void *res);

bool peer_serve(peer_t *peer, GError **err)
{
	peer_server_t *expected = NULL;
	peer_server_t *server = talloc_zero(peer, peer_server_t);
	int max_record = PEER_RECORD_MAX;

	server->peer = peer;
	server->stop_fd = -1;
	if (!atomic_compare_exchange_strong(&serving, &expected, server)) {
		g_set_error(err, PEER_ERROR, PEER_ERROR_BUSY,
			    "another peer of this process is already serving");
		talloc_free(server);
		return false;
	}
	talloc_set_destructor(server, free_server);
	server->replay = peer_replay_new(server);
	peer_set_handler(peer, PEER_LIFE, handle_life, peer);
	/* Limits the record size and makes reads and writes non-blocking. */
	rpc_control(RPC_SVC_CONNMAXREC_SET, &max_record);
	server->stop_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (!open_sockets(server, err)) {
		talloc_free(server);
		return false;
	}
	pthread_create(&server->thread, NULL, run_server, server);
	pthread_setname_np(server->thread, "peer");
	peer->server = server;
	return true;
}

void peer_stop(peer_t *peer)
{
	TALLOC_FREE(peer->server);
}

static int free_server(peer_server_t *server)
{
	uint64_t one = 1;

	if (server->peer->server) {
		if (write(server->stop_fd, &one, sizeof(one)) < 0)
			return -1;
		pthread_join(server->thread, NULL);
	}
	if (server->datagram)
		svc_destroy(server->datagram);
	if (server->listener)
		svc_destroy(server->listener);
	close_connections();
	if (server->stop_fd >= 0)
		close(server->stop_fd);
	atomic_store(&serving, NULL);
	return 0;
}

static bool open_sockets(peer_server_t *server, GError **err)
{
	peer_addr_t addr = server->peer->addr;
	char text[PEER_ADDR_LEN];
	int udp = bind_socket(addr, SOCK_DGRAM);
	int tcp = bind_socket(addr, SOCK_STREAM);

	if (udp >= 0)
		server->datagram = svc_dg_create(udp, PEER_DATAGRAM_MAX,
						 PEER_DATAGRAM_MAX);
	if (tcp >= 0 && !listen(tcp, BACKLOG))
		server->listener = svc_vc_create(tcp, READ_BUF, READ_BUF);
	if (server->datagram && server->listener &&
	    svc_reg(server->datagram, PEER_PROG, PEER_VERS, dispatch, NULL) &&
	    svc_reg(server->listener, PEER_PROG, PEER_VERS, dispatch, NULL))
		return true;
	peer_addr_format(addr, text);
	g_set_error(err, PEER_ERROR, PEER_ERROR_SOCKET,
		    "cannot bind or listen on %s", text);
	if (udp >= 0 && !server->datagram)
		close(udp);
	if (tcp >= 0 && !server->listener)
		close(tcp);
	return false;
}

static int bind_socket(peer_addr_t addr, int type)
{
	int fd = socket(AF_INET, type | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct sockaddr_in sin;
	int on = 1;

	if (fd < 0)
		return -1;
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	peer_addr_sockaddr(addr, &sin);
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin))) {
		close(fd);
		return -1;
	}
	return fd;
}

static void *run_server(void *arg)
{
	peer_server_t *server = arg;
	struct pollfd *fds = NULL;
	size_t n;
	int ready;

	for (;;) {
		n = copy_poll_set(server, &fds);
		ready = poll(fds, n, -1);
		if (fds[0].revents)
			break;
		if (ready > 0)
			svc_getreq_poll(fds + 1, ready);
	}
	free(fds);
	return NULL;
}

/* Copy the library's poll set, which it changes while it serves. */
static size_t copy_poll_set(peer_server_t *server, struct pollfd **fds)
{
	size_t n = (size_t)svc_max_pollfd;

	*fds = realloc(*fds, (n + 1) * sizeof(**fds));
	(*fds)[0] = (struct pollfd){ server->stop_fd, POLLIN, 0 };
	memcpy(*fds + 1, svc_pollfd, n * sizeof(**fds));
	return n + 1;
}

/*
 * The library frees a connection when it reads end of file.  Shut down and
 * read each remaining connection, so that it is freed and its client sees the
 * close at once.
 */
static void close_connections(void)
{
	for (int i = 0; i < svc_max_pollfd; i++)
		if (svc_pollfd[i].fd >= 0) {
			shutdown(svc_pollfd[i].fd, SHUT_RDWR);
			svc_getreq_common(svc_pollfd[i].fd);
		}
}

static void dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	peer_server_t *server = serving;
	peer_sealed sealed = { 0 };

	if (req->rq_proc != PEER_RPC_SEALED) {
		svcerr_noproc(xprt);
		return;
	}
	if (!svc_getargs(xprt, (xdrproc_t)xdr_peer_sealed, (char *)&sealed)) {
		peer_count(server->peer, PEER_REFUSED_MAC, 1);
		svcerr_decode(xprt);
		return;
	}
	peer_count(server->peer, PEER_BYTES_IN,
		   PEER_MAC_LEN + sealed.body.body_len);
	if (peer_seal_check(server->peer, &sealed))
		handle_sealed(server, xprt, &sealed);
	else
		peer_count(server->peer, PEER_REFUSED_MAC, 1);
	svc_freeargs(xprt, (xdrproc_t)xdr_peer_sealed, (char *)&sealed);
}

/*
 * Handle a message whose MAC was verified.  Its lives and its sequence number
 * are checked before the procedure runs, as protection against replay.
 */
static void handle_sealed(peer_server_t *server, SVCXPRT *xprt,
			  peer_sealed *sealed)
{
	union {
		peer_config_part part;
		char bytes[1024];
	} res = { 0 };
	peer_call_head head = { 0 };
	peer_reply_head reply = { .magic = PEER_REPLY_MAGIC };
	XDR xdrs;

	peer_decode_begin(&xdrs, sealed);
	if (xdr_peer_call_head(&xdrs, &head) && check_head(server, &head)) {
		peer_count_flow(server->peer, head.proc, PEER_IN, sealed);
		reply.status = check_freshness(server, &head, &reply.from_life);
		if (reply.status == PEER_WIRE_DONE)
			reply.status =
				run_handler(server, &head, &xdrs, sealed, &res);
		if (xprt != server->datagram)
			send_reply(server, xprt, &head, &reply, &res);
		else if (reply.status == PEER_WIRE_LIFE ||
			 reply.status == PEER_WIRE_STALE)
			send_life(server, &head);
		if (reply.status == PEER_WIRE_DONE)
			peer_free_res(head.proc, &res);
	} else {
		peer_count(server->peer, PEER_REFUSED_MAC, 1);
	}
	xdr_free((xdrproc_t)xdr_peer_call_head, (char *)&head);
	xdr_destroy(&xdrs);
}

static bool check_head(peer_server_t *server, const peer_call_head *head)
{
	if (!peer_name_ok(head->from) || !peer_name_ok(head->zone) ||
	    head->from_addr.port > UINT16_MAX || !head->from_addr.ip ||
	    !head->from_life ||
	    !peer_wire_addr_eq(&head->to_addr, server->peer->addr))
		return false;
	if (!peer_blocklist_contains(server->peer->blocklist, head->zone))
		return true;
	peer_count(server->peer, PEER_BLOCKED, 1);
	return false;
}

/*
 * Check that the call is meant for this life, comes from the latest life of
 * its sender and was not received before.
 */
static peer_wire_status check_freshness(peer_server_t *server,
					const peer_call_head *head,
					uint64_t *from_life)
{
	peer_t *peer = server->peer;
	peer_wire_status status;
	peer_addr_t addr = { head->from_addr.ip,
			     (uint16_t)head->from_addr.port };

	*from_life = head->from_life;
	if (head->to_life != peer->life) {
		peer_count(peer, PEER_REFUSED_LIFE, 1);
		return PEER_WIRE_LIFE;
	}
	status = peer_replay_check(server->replay, head->from, head->from_life,
				   head->seq, from_life);
	if (status == PEER_WIRE_STALE)
		peer_count(peer, PEER_REFUSED_LIFE, 1);
	if (status == PEER_WIRE_REPLAY)
		peer_count(peer, PEER_REFUSED_REPLAY, 1);
	if (status != PEER_WIRE_DONE)
		return status;
	*from_life = head->from_life;
	peer_lives_set(peer->lives, addr, head->from_life);
	return PEER_WIRE_DONE;
}

static peer_wire_status run_handler(peer_server_t *server,
				    const peer_call_head *head, XDR *xdrs,
				    const peer_sealed *sealed, void *res)
{
	const peer_proc_info_t *info;
	const peer_slot_t *handler;
	peer_sender_t from = { .id = head->from,
			       .zone = head->zone,
			       .addr = { head->from_addr.ip,
					 (uint16_t)head->from_addr.port },
			       .life = head->from_life };
	bool done = false;
	void *args;

	if (head->proc >= PEER_PROC_MAX)
		return PEER_WIRE_REFUSED;
	info = &peer_procs[head->proc];
	handler = &server->peer->handlers[head->proc];
	if (!handler->fn)
		return PEER_WIRE_REFUSED;
	args = g_malloc0(info->args_size);
	if (info->xdr_args(xdrs, args) && peer_decode_done(xdrs, sealed))
		done = handler->fn(handler->arg, &from, args, res);
	xdr_free(info->xdr_args, args);
	g_free(args);
	if (!done)
		return PEER_WIRE_REFUSED;
	peer_count(server->peer, PEER_CALLS_IN, 1);
	return PEER_WIRE_DONE;
}

static void send_reply(peer_server_t *server, SVCXPRT *xprt,
		       const peer_call_head *head, peer_reply_head *reply,
		       void *res)
{
	peer_t *peer = server->peer;
	xdrproc_t xdr_res = NULL;
	peer_sealed sealed;

	if (reply->status == PEER_WIRE_DONE)
		xdr_res = peer_procs[head->proc].xdr_res;
	reply->life = peer->life;
	reply->seq = head->seq;
	reply->from_addr = head->from_addr;
	if (!peer_seal(peer, &sealed, (xdrproc_t)xdr_peer_reply_head, reply,
		       xdr_res, res)) {
		svcerr_systemerr(xprt);
		return;
	}
	peer_count(peer, PEER_BYTES_OUT, PEER_MAC_LEN + sealed.body.body_len);
	peer_count_flow(peer, head->proc, PEER_OUT, &sealed);
	svc_sendreply(xprt, (xdrproc_t)xdr_peer_sealed, (char *)&sealed);
	peer_sealed_free(&sealed);
}

/* Rate-limited, so that stale datagrams cannot cause a flood of replies. */
static void send_life(peer_server_t *server, const peer_call_head *head)
{
	int64_t second = base_clock_mono() / BASE_SEC;

	if (head->proc == PEER_LIFE)
		return;
	if (second != server->life_second) {
		server->life_second = second;
		server->life_sent = 0;
	}
	if (server->life_sent++ >= LIFE_PER_SEC)
		return;
	peer_send_life(server->peer, head,
		       peer_replay_latest_life(server->replay, head->from));
}

static bool handle_life(void *arg, const peer_sender_t *from, const void *args,
			void *res)
{
	const peer_life *life = args;
	peer_t *peer = arg;

	(void)res;
	peer_lives_set(peer->lives, from->addr, life->life);
	if (life->seen_life > peer->life)
		peer_raise_life(peer, life->seen_life);
	return true;
}
