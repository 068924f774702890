/*
 * Guards against a caller who is told that a job never runs although an earlier
 * try of its submit may still be accepted.
 *
 * The holder is a server of the test: it leaves the first submit without an
 * answer and answers each later one as told.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <unistd.h>

#include "node_int.h"

#define TERM 7

typedef struct front_fixture {
	node_t *node;
	char address[32];
	net_server_t *server;
	bool answers_first;
	net_exchange_t *lost; /* the first submit, unless that is answered */
	const char *state_answer;
	const char *submit_answer;
	int n_submits;
	int64_t last_term; /* that the last submit named */
	char *first_token;
	bool same_token; /* in all submits */
	node_outcome_kind_t kind;
} front_fixture_t;

static int unused_port(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&addr, len), ==, 0);
	getsockname(fd, (struct sockaddr *)&addr, &len);
	close(fd);
	return ntohs(addr.sin_port);
}

static void note_submit(front_fixture_t *fixture, const json_t *root)
{
	const char *token = json_string_value(json_object_get(root, "token"));

	g_assert_nonnull(token);
	if (!fixture->n_submits++)
		fixture->first_token = talloc_strdup(fixture->node, token);
	fixture->same_token &= !strcmp(token, fixture->first_token);
	fixture->last_term = json_integer_value(json_object_get(root, "term"));
}

static void serve(void *arg, net_exchange_t *exchange)
{
	front_fixture_t *fixture = arg;
	base_str_t text = net_exchange_body(exchange);
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	const char *ask = json_string_value(json_object_get(root, "ask"));
	bool is_submit = ask && !strcmp(ask, "submit");

	if (is_submit)
		note_submit(fixture, root);
	json_decref(root);
	if (is_submit && !fixture->lost && !fixture->answers_first) {
		fixture->lost = exchange;
		return;
	}
	net_reply(exchange, 200, NULL, 0,
		  base_str(is_submit ? fixture->submit_answer
				     : fixture->state_answer));
}

static void fixture_init(front_fixture_t *fixture)
{
	static node_settings_t settings = { .name = "edge-1",
					    .peers_at = "127.0.0.1:1" };
	node_t *node = talloc_zero(NULL, node_t);

	*fixture = (front_fixture_t){ .node = node, .same_token = true };
	node->settings = &settings;
	node->loop = net_loop_new(node);
	node->metrics = node_metrics_new(node);
	node->log = node_log_new(node, node->loop, open("/dev/null", O_WRONLY));
	node->open_requests = g_hash_table_new(NULL, NULL);
	node->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	node->members = g_ptr_array_new();
	node->token_prefix = talloc_strdup(node, "edge-1.a");
	g_snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%d",
		   unused_port());
	fixture->server = net_server_new(node, node->loop, fixture->address,
					 serve, fixture, NULL);
	g_assert_nonnull(fixture->server);
	node->known_holder.name = talloc_strdup(node, "edge-2");
	node->known_holder.address = talloc_strdup(node, fixture->address);
	node->known_holder.term = TERM;
	node_election_heard_term(node, TERM);
}

static void fixture_free(front_fixture_t *fixture)
{
	node_t *node = fixture->node;

	if (fixture->lost)
		net_reply(fixture->lost, 503, NULL, 0, BASE_STR(""));
	g_hash_table_unref(node->open_requests);
	g_hash_table_unref(node->peers);
	g_ptr_array_unref(node->members);
	talloc_free(node);
}

static void submit_done(void *arg, const node_outcome_t *outcome)
{
	front_fixture_t *fixture = arg;

	fixture->kind = outcome->kind;
	net_loop_stop(fixture->node->loop);
}

/* Submits a job and returns what its caller is told. */
static node_outcome_kind_t submit(front_fixture_t *fixture)
{
	node_job_request_t ask = { .job_op = NODE_OP_SUBMIT,
				   .queue = (char *)"jobs",
				   .id = (char *)"0000000000000001",
				   .body = BASE_STR("{}"),
				   .deadline =
					   base_clock_mono() + 20 * BASE_SEC };

	node_dispatch(fixture->node, &ask, submit_done, fixture);
	net_loop_run(fixture->node->loop);
	return fixture->kind;
}

static void test_all_tries_refused(void)
{
	front_fixture_t fixture;

	fixture_init(&fixture);
	fixture.state_answer = "{\"kind\":\"gone\",\"term\":7}";
	fixture.submit_answer =
		"{\"kind\":\"refused\",\"binding\":true,\"term\":7}";
	g_assert_cmpint(submit(&fixture), ==, NODE_OUT_REFUSED);
	g_assert_cmpint(fixture.n_submits, ==, 2);
	g_assert_true(fixture.same_token);
	g_assert_cmpint(fixture.last_term, ==, TERM);
	fixture_free(&fixture);
}

/* The holder is of a version that judges each try by itself. */
static void test_one_try_refused(void)
{
	front_fixture_t fixture;

	fixture_init(&fixture);
	fixture.state_answer = "{\"kind\":\"gone\"}";
	fixture.submit_answer = "{\"kind\":\"refused\"}";
	g_assert_cmpint(submit(&fixture), ==, NODE_OUT_UNKNOWN);
	g_assert_cmpint(fixture.n_submits, ==, 2);
	fixture_free(&fixture);
}

/* A refusal of the only try needs no more than that. */
static void test_only_try_refused(void)
{
	front_fixture_t fixture;

	fixture_init(&fixture);
	fixture.answers_first = true;
	fixture.submit_answer = "{\"kind\":\"refused\"}";
	g_assert_cmpint(submit(&fixture), ==, NODE_OUT_REFUSED);
	g_assert_cmpint(fixture.n_submits, ==, 1);
	fixture_free(&fixture);
}

/* The lost try named no term, so that a later holder might take it. */
static void test_lost_without_term(void)
{
	front_fixture_t fixture;

	fixture_init(&fixture);
	fixture.node->highest_term = 0;
	fixture.state_answer = "{\"kind\":\"gone\",\"term\":7}";
	fixture.submit_answer =
		"{\"kind\":\"refused\",\"binding\":true,\"term\":7}";
	g_assert_cmpint(submit(&fixture), ==, NODE_OUT_UNKNOWN);
	/* The answer to a state request names no term for a submit. */
	g_assert_cmpint(fixture.last_term, ==, 0);
	fixture_free(&fixture);
}

/* Guards against a term that is kept from another entry's answer: a wrong one
 * would have all later requests turned away. */
static void test_term_of_an_answer(void)
{
	front_fixture_t fixture;

	fixture_init(&fixture);
	fixture.answers_first = true;
	fixture.state_answer = "{\"kind\":\"gone\",\"term\":9}";
	fixture.submit_answer = "{\"kind\":\"not-owner\",\"term\":9}";
	g_assert_cmpint(submit(&fixture), ==, NODE_OUT_NOT_HOLDER);
	g_assert_cmpint(fixture.n_submits, >=, 2);
	g_assert_cmpint(fixture.last_term, ==, 9);
	fixture.submit_answer =
		"{\"kind\":\"refused\",\"binding\":true,\"term\":7}";
	fixture.node->known_holder.suspect_until = 0;
	g_assert_cmpint(submit(&fixture), ==, NODE_OUT_REFUSED);
	g_assert_cmpint(fixture.last_term, ==, TERM);
	fixture_free(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/node-front/refused-in-all-tries",
			test_all_tries_refused);
	g_test_add_func("/node-front/refused-in-one-try-is-unknown",
			test_one_try_refused);
	g_test_add_func("/node-front/refused-in-its-only-try",
			test_only_try_refused);
	g_test_add_func("/node-front/a-lost-try-without-a-term-is-unknown",
			test_lost_without_term);
	g_test_add_func("/node-front/term-of-an-answer-is-not-kept",
			test_term_of_an_answer);
	return g_test_run();
}
