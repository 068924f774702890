/*
 * Fault injection: draws the kind by weight, and the target and duration at
 * random.  Several faults can be active at once, also on the same target.
 */
#include <signal.h>
#include <stdlib.h>

#include "soak_int.h"

/* Time for the site to settle before the first fault. */
#define FAULT_FIRST_DELAY (2500 * BASE_MS)
/* Between the starts of two faults: some overlap, some do not. */
#define FAULT_GAP_MIN (100 * BASE_MS)
#define FAULT_GAP_MAX (1600 * BASE_MS)
#define FAULT_ACTIVE_MAX 4
/* A younger process may not handle signals yet. */
#define FAULT_PROCESS_AGE_MIN (1500 * BASE_MS)
#define FAULT_DELAY_MIN (20 * BASE_MS)
/* Longer than the timeout of most calls. */
#define FAULT_DELAY_MAX (1500 * BASE_MS)
/* Delay of late changes: some are carried out by the same holder's term, some
 * after it. */
#define FAULT_LATE_MIN (200 * BASE_MS)
#define FAULT_LATE_MAX (6 * BASE_SEC)
#define FAULT_WAVE_MAX 2 /* instances of a wave in maintenance at once */
/* Of a wave in which the holder is suspended: all, more than it has
 * connections. */
#define FAULT_SUSPENDED_WAVE_MAX 5
#define FAULT_WAVES 2 /* waves in a run; they may overlap */
/* One fault in so many is the first of a series: the same kind on the same
 * target, in quick succession. */
#define FAULT_SERIES_ONE_IN 5
#define FAULT_SERIES_MAX 3 /* faults after the first */
#define FAULT_SERIES_GAP_MIN (50 * BASE_MS)
#define FAULT_SERIES_GAP_MAX (700 * BASE_MS)

typedef struct fault fault_t;

typedef struct kind {
	const char *name;
	int weight;
	int64_t min_us; /* duration, microseconds */
	int64_t max_us;
	bool (*begin)(soak_t *soak, fault_t *fault);
	void (*end)(soak_t *soak, fault_t *fault); /* NULL: nothing to undo */
} kind_t;

struct fault {
	const kind_t *kind;
	int target;
	soak_link_t *link;
	int64_t ends_at;
};

struct soak_faults {
	soak_t *soak;
	GPtrArray *active; /* fault_t */
	int64_t next_at;
	int started_count;
	bool is_over;
	int config_version; /* last version written */
	int wave_count;	    /* waves ordered */
	const kind_t *series_kind;
	int series_target;
	/* The switch that suspends the holder; NULL: it is not to be. */
	const char *suspend_switch;
	int suspend_wave; /* to be ordered then; 0: none */
	int64_t suspended_until;
	int series_left; /* faults that are still due in the series */
};

static soak_process_t *target_node(soak_t *soak, const fault_t *fault)
{
	return soak->nodes[fault->target % SOAK_NODES];
}

static bool kill_node(soak_t *soak, fault_t *fault)
{
	soak_process_signal(target_node(soak, fault), SIGKILL);
	return true;
}

static bool kill_all_nodes(soak_t *soak, fault_t *fault)
{
	int i;

	(void)fault;
	for (i = 0; i < SOAK_NODES; i++)
		soak_process_signal(soak->nodes[i], SIGKILL);
	return true;
}

static bool pause_node(soak_t *soak, fault_t *fault)
{
	if (target_node(soak, fault)->is_paused)
		return false;
	soak_process_signal(target_node(soak, fault), SIGSTOP);
	return true;
}

static void resume_node(soak_t *soak, fault_t *fault)
{
	soak_process_signal(target_node(soak, fault), SIGCONT);
}

static bool stop_node(soak_t *soak, fault_t *fault)
{
	soak_process_t *node = target_node(soak, fault);
	bool is_slow = base_rng_below(&soak->rng, 2);

	if (base_clock_mono() - node->started_at < FAULT_PROCESS_AGE_MIN)
		return false;
	soak_process_signal(node, SIGTERM);
	node->is_slow |= is_slow;
	return true;
}

static void repeat_stop(soak_t *soak, fault_t *fault)
{
	if (target_node(soak, fault)->terminated_at)
		soak_process_signal(target_node(soak, fault), SIGTERM);
}

static bool reload_node(soak_t *soak, fault_t *fault)
{
	soak_process_t *node = target_node(soak, fault);

	if (base_clock_mono() - node->started_at < FAULT_PROCESS_AGE_MIN)
		return false;
	soak_process_signal(node, SIGHUP);
	return true;
}

static bool set_link_fault(soak_t *soak, fault_t *fault)
{
	soak_link_t **const links[] = { soak->store_links, soak->instance_links,
					soak->peer_links, soak->caller_links,
					soak->worker_links };
	int kind_index = (int)base_rng_below(&soak->rng, ARRAY_SIZE(links));
	int n = links[kind_index] == soak->worker_links ? SOAK_WORKERS
							: SOAK_NODES;
	soak_link_fault_t link_fault = (soak_link_fault_t)soak_random_range(
		&soak->rng, SOAK_LINK_DELAY, SOAK_LINK_RESET);

	fault->link = links[kind_index][fault->target % n];
	if (n == SOAK_NODES)
		soak_process_disturb(target_node(soak, fault), fault->ends_at);
	soak_link_set_fault(fault->link, link_fault,
			    soak_random_range(&soak->rng, FAULT_DELAY_MIN,
					      FAULT_DELAY_MAX));
	return true;
}

static void clear_link_fault(soak_t *soak, fault_t *fault)
{
	(void)soak;
	soak_link_set_fault(fault->link, SOAK_LINK_OK, 0);
}

static void set_node_links(soak_t *soak, const fault_t *fault,
			   soak_link_fault_t link_fault)
{
	int i = fault->target % SOAK_NODES;

	soak_link_set_fault(soak->store_links[i], link_fault, 0);
	soak_link_set_fault(soak->instance_links[i], link_fault, 0);
	soak_link_set_fault(soak->peer_links[i], link_fault, 0);
	soak_link_set_fault(soak->caller_links[i], link_fault, 0);
}

static bool isolate_node(soak_t *soak, fault_t *fault)
{
	set_node_links(soak, fault, SOAK_LINK_DROP_BOTH);
	soak_process_disturb(target_node(soak, fault), fault->ends_at);
	return true;
}

static void reconnect_node(soak_t *soak, fault_t *fault)
{
	set_node_links(soak, fault, SOAK_LINK_OK);
}

static void set_switch(soak_t *soak, const char *name, const char *value)
{
	char *path = g_strdup_printf("/switch?%s=%s", name, value);

	soak_post(soak, path, "x");
	g_free(path);
}

static void set_switch_number(soak_t *soak, const char *name, int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%lld", (long long)value);
	set_switch(soak, name, text);
}

static bool store_busy(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "store", "busy");
	return true;
}

static bool store_silent(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "store", "silent");
	return true;
}

static void store_ok(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "store", "fine");
}

static bool lose_answers(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch_number(soak, "lose", soak_random_range(&soak->rng, 10, 70));
	return true;
}

static void keep_answers(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "lose", "0");
}

/* Some changes are carried out late and not answered. */
static bool delay_changes(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch_number(soak, "lose", soak_random_range(&soak->rng, 30, 100));
	set_switch_number(soak, "late-ms",
			  soak_random_range(&soak->rng,
					    FAULT_LATE_MIN / BASE_MS,
					    FAULT_LATE_MAX / BASE_MS));
	return true;
}

static void undelay_changes(soak_t *soak, fault_t *fault)
{
	keep_answers(soak, fault);
	set_switch(soak, "late-ms", "0");
}

/* The node that an answer with the holder names; NULL if it names none. */
static soak_process_t *find_holder(soak_t *soak, const net_answer_t *answer)
{
	json_t *root = NULL;
	soak_process_t *node = NULL;
	const char *name;
	int i;

	if (answer->call_outcome == NET_ANSWERED)
		root = json_loadb(answer->body.ptr, answer->body.len, 0, NULL);
	name = json_string_value(json_object_get(root, "name"));
	for (i = 0; name && i < SOAK_NODES; i++)
		if (g_str_has_prefix(name, "edge-") &&
		    strtol(name + strlen("edge-"), NULL, 10) == i)
			node = soak->nodes[i];
	json_decref(root);
	return node;
}

static void read_holder(soak_t *soak, net_done_t *done)
{
	net_request_t request = { .method = NET_GET,
				  .path = "/read?key=cactusfield/owner",
				  .timeout = BASE_SEC };

	net_call(soak->control, &request, done, soak);
}

static void holder_to_kill_read(void *arg, const net_answer_t *answer)
{
	soak_process_t *node = find_holder(arg, answer);

	if (node)
		soak_process_signal(node, SIGKILL);
}

static void kill_holder(soak_t *soak, fault_t *fault)
{
	read_holder(soak, holder_to_kill_read);
	undelay_changes(soak, fault);
}

static void holder_to_suspend_read(void *arg, const net_answer_t *answer)
{
	soak_t *soak = arg;
	soak_faults_t *faults = soak->faults;
	soak_process_t *node = find_holder(soak, answer);

	if (!node || !node->pid || !faults->suspend_switch)
		return;
	soak_process_disturb(node, faults->suspended_until);
	/* The stand-in stops it, at a moment when its orders wait. */
	set_switch_number(soak, faults->suspend_switch, node->pid);
	if (faults->suspend_wave)
		soak_order_wave(soak, faults->suspend_wave,
				FAULT_SUSPENDED_WAVE_MAX);
}

static bool suspend_holder(soak_t *soak, const fault_t *fault, const char *name,
			   int wave)
{
	soak_faults_t *faults = soak->faults;

	if (faults->suspend_switch)
		return false;
	faults->suspend_switch = name;
	faults->suspend_wave = wave;
	faults->suspended_until = fault->ends_at;
	read_holder(soak, holder_to_suspend_read);
	return true;
}

/* In a wave whose orders are all due at once. */
static bool suspend_at_order(soak_t *soak, fault_t *fault)
{
	soak_faults_t *faults = soak->faults;

	if (faults->wave_count >= FAULT_WAVES ||
	    !suspend_holder(soak, fault, "suspend-at-order",
			    faults->wave_count + 1))
		return false;
	faults->wave_count++;
	return true;
}

static bool suspend_at_start(soak_t *soak, fault_t *fault)
{
	return suspend_holder(soak, fault, "suspend-at-start", 0);
}

static void resume_holder(soak_t *soak, fault_t *fault)
{
	soak_faults_t *faults = soak->faults;

	(void)fault;
	set_switch(soak, "suspend-none", "x");
	faults->suspend_switch = NULL;
}

static bool drop_history(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "history", "drop");
	return true;
}

static bool expire_leases(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "leases", "lapse");
	return true;
}

static bool crash_worker(soak_t *soak, fault_t *fault)
{
	set_switch_number(soak, "crash", fault->target % SOAK_WORKERS);
	return true;
}

static bool silence_worker(soak_t *soak, fault_t *fault)
{
	set_switch_number(soak,
			  base_rng_below(&soak->rng, 2) ? "mute" : "one-way",
			  fault->target % SOAK_WORKERS);
	return true;
}

static void clear_worker_fault(soak_t *soak, fault_t *fault)
{
	set_switch_number(soak, "heal", fault->target % SOAK_WORKERS);
}

static bool unlist_worker(soak_t *soak, fault_t *fault)
{
	set_switch_number(soak, "unlist", fault->target % SOAK_WORKERS);
	return true;
}

static void list_worker(soak_t *soak, fault_t *fault)
{
	set_switch_number(soak, "list", fault->target % SOAK_WORKERS);
}

void soak_configure_next(soak_t *soak)
{
	soak_configure(soak, ++soak->faults->config_version);
}

static bool change_config(soak_t *soak, fault_t *fault)
{
	(void)fault;
	soak_configure_next(soak);
	return true;
}

static bool order_wave(soak_t *soak, fault_t *fault)
{
	(void)fault;
	if (soak->faults->wave_count >= FAULT_WAVES)
		return false;
	soak_order_wave(soak, ++soak->faults->wave_count, FAULT_WAVE_MAX);
	return true;
}

static bool order_unanswered_wave(soak_t *soak, fault_t *fault)
{
	if (!order_wave(soak, fault))
		return false;
	set_switch(soak, "upkeep", "unanswered");
	return true;
}

static void answer_orders(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "upkeep", "answered");
}

/* The operator makes a mistake and corrects it. */
static bool write_nonsense(soak_t *soak, fault_t *fault)
{
	static const struct {
		const char *path;
		const char *body;
	} writes[] = {
		{ "/operator?key=op/config", "{\"version\":" },
		{ "/operator?key=op/config", "null" },
		{ "/operator?key=op/config", "{\"version\":0,\"routes\":{}}" },
		{ "/operator?key=op/wave/9", "[9]" },
		{ "/operator?key=op/wave/9",
		  "{\"wave\":9,\"machines\":\"m-1\"}" },
	};
	uint64_t i = base_rng_below(&soak->rng, ARRAY_SIZE(writes));

	(void)fault;
	soak_post(soak, writes[i].path, writes[i].body);
	return true;
}

static void correct_config(soak_t *soak, fault_t *fault)
{
	change_config(soak, fault);
}

static bool longer_tasks(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch_number(soak, "task-ms",
			  soak_random_range(&soak->rng, 50, 2500));
	return true;
}

static void default_tasks(soak_t *soak, fault_t *fault)
{
	(void)fault;
	set_switch(soak, "task-ms", "300");
}

/* The policy service is up to a hundred times as slow as configured. */
static bool slow_policy(soak_t *soak, fault_t *fault)
{
	set_switch_number(soak, "advice-ms",
			  soak_random_range(&soak->rng, 0, 2500));
	set_switch_number(soak, "advice-each-ms",
			  soak_random_range(&soak->rng, 0, 400));
	soak->has_policy = true;
	return change_config(soak, fault);
}

static void no_policy(soak_t *soak, fault_t *fault)
{
	set_switch(soak, "advice-ms", "0");
	set_switch(soak, "advice-each-ms", "0");
	soak->has_policy = false;
	change_config(soak, fault);
}

/* New kinds go to the end: a recorded seed draws from the first ones only. */
static const kind_t kinds[] = {
	{ "kill", 10, 0, 0, kill_node, NULL },
	{ "kill all", 2, 0, 0, kill_all_nodes, NULL },
	{ "pause", 8, 200 * BASE_MS, 5 * BASE_SEC, pause_node, resume_node },
	{ "stop", 8, 50 * BASE_MS, BASE_SEC, stop_node, repeat_stop },
	{ "reload", 4, 0, 0, reload_node, NULL },
	{ "link", 20, 200 * BASE_MS, 4 * BASE_SEC, set_link_fault,
	  clear_link_fault },
	{ "cut", 8, 300 * BASE_MS, 5 * BASE_SEC, isolate_node, reconnect_node },
	{ "store busy", 4, 200 * BASE_MS, 4 * BASE_SEC, store_busy, store_ok },
	{ "store silent", 4, 200 * BASE_MS, 4 * BASE_SEC, store_silent,
	  store_ok },
	{ "answers lost", 5, 500 * BASE_MS, 3 * BASE_SEC, lose_answers,
	  keep_answers },
	{ "history dropped", 4, 0, 0, drop_history, NULL },
	{ "leases lapse", 4, 0, 0, expire_leases, NULL },
	{ "worker crash", 8, 0, 0, crash_worker, NULL },
	{ "worker silent", 8, 300 * BASE_MS, 6 * BASE_SEC, silence_worker,
	  clear_worker_fault },
	{ "configuration", 6, 0, 0, change_config, NULL },
	{ "nonsense", 4, 50 * BASE_MS, 2 * BASE_SEC, write_nonsense,
	  correct_config },
	{ "upkeep", 4, 0, 0, order_wave, NULL },
	{ "long tasks", 5, 500 * BASE_MS, 5 * BASE_SEC, longer_tasks,
	  default_tasks },
	{ "changes late", 6, 500 * BASE_MS, 4 * BASE_SEC, delay_changes,
	  undelay_changes },
	{ "changes late, holder killed", 6, 500 * BASE_MS, 2 * BASE_SEC,
	  delay_changes, kill_holder },
	{ "worker unlisted", 12, 50 * BASE_MS, 2 * BASE_SEC, unlist_worker,
	  list_worker },
	{ "upkeep unanswered", 4, BASE_SEC, 6 * BASE_SEC, order_unanswered_wave,
	  answer_orders },
	{ "upkeep, holder suspended", 8, 2 * BASE_SEC, 6 * BASE_SEC,
	  suspend_at_order, resume_holder },
	{ "starts, holder suspended", 8, 2 * BASE_SEC, 6 * BASE_SEC,
	  suspend_at_start, resume_holder },
	{ "slow policy", 8, BASE_SEC, 8 * BASE_SEC, slow_policy, no_policy },
};

static int faults_free(soak_faults_t *faults)
{
	g_ptr_array_unref(faults->active);
	return 0;
}

soak_faults_t *soak_faults_new(soak_t *soak)
{
	soak_faults_t *faults = talloc_zero(soak, soak_faults_t);

	faults->soak = soak;
	faults->active = g_ptr_array_new();
	talloc_set_destructor(faults, faults_free);
	faults->config_version = 1;
	faults->next_at = base_clock_mono() + FAULT_FIRST_DELAY;
	return faults;
}

static const kind_t *draw_kind(soak_t *soak)
{
	int64_t total = 0;
	int64_t at;
	size_t i;

	for (i = 0; i < MIN(ARRAY_SIZE(kinds), soak->kinds_max); i++)
		total += kinds[i].weight;
	at = soak_random_range(&soak->rng, 0, total - 1);
	for (i = 0; at >= kinds[i].weight; i++)
		at -= kinds[i].weight;
	return &kinds[i];
}

static void log_fault(const soak_faults_t *faults, const fault_t *fault,
		      bool is_start)
{
	printf("{\"at_ms\":%lld,\"fault\":\"%s\",\"target\":%d,\"%s\":true}\n",
	       (long long)((base_clock_mono() - faults->soak->started_at) /
			   BASE_MS),
	       fault->kind->name, fault->target, is_start ? "begins" : "ends");
}

static void end_fault(soak_faults_t *faults, guint at)
{
	fault_t *fault = g_ptr_array_index(faults->active, at);

	if (fault->kind->end)
		fault->kind->end(faults->soak, fault);
	log_fault(faults, fault, false);
	g_ptr_array_remove_index_fast(faults->active, at);
	talloc_free(fault);
}

/* The next fault of the series, or another one that may begin a series. */
static void draw_series(soak_faults_t *faults)
{
	soak_t *soak = faults->soak;

	if (faults->series_left) {
		faults->series_left--;
		return;
	}
	faults->series_kind = draw_kind(soak);
	faults->series_target = (int)base_rng_below(&soak->rng, SOAK_WORKERS);
	if (base_rng_below(&soak->rng, FAULT_SERIES_ONE_IN) == 0)
		faults->series_left =
			(int)soak_random_range(&soak->rng, 1, FAULT_SERIES_MAX);
}

/* Draws every random value even if the fault cannot start, so that the later
 * sequence depends on the seed alone. */
static void begin_fault(soak_faults_t *faults, int64_t now)
{
	soak_t *soak = faults->soak;
	fault_t *fault = talloc_zero(faults, fault_t);

	draw_series(faults);
	fault->kind = faults->series_kind;
	fault->target = faults->series_target;
	fault->ends_at =
		now + soak_random_range(&soak->rng, fault->kind->min_us,
					fault->kind->max_us);
	if (!fault->kind->begin(soak, fault)) {
		talloc_free(fault);
		return;
	}
	faults->started_count++;
	log_fault(faults, fault, true);
	g_ptr_array_add(faults->active, fault);
}

void soak_faults_tick(soak_faults_t *faults, int64_t now)
{
	guint i;

	for (i = faults->active->len; i-- > 0;) {
		const fault_t *fault = g_ptr_array_index(faults->active, i);

		if (now >= fault->ends_at)
			end_fault(faults, i);
	}
	if (faults->is_over || now < faults->next_at ||
	    faults->active->len >= FAULT_ACTIVE_MAX)
		return;
	begin_fault(faults, now);
	faults->next_at =
		now +
		(faults->series_left
			 ? soak_random_range(&faults->soak->rng,
					     FAULT_SERIES_GAP_MIN,
					     FAULT_SERIES_GAP_MAX)
			 : soak_random_range(&faults->soak->rng, FAULT_GAP_MIN,
					     FAULT_GAP_MAX));
}

void soak_faults_end_all(soak_faults_t *faults)
{
	faults->is_over = true;
	while (faults->active->len)
		end_fault(faults, 0);
}

int soak_faults_count(const soak_faults_t *faults)
{
	return faults->started_count;
}
