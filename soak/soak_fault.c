/*
 * What goes wrong, and when: kinds are drawn by weight, targets and spans at
 * random, several at a time, also twice on the same target.
 */
#include <signal.h>

#include "soak_int.h"

/* So long the site may settle before the first fault. */
#define FAULT_FIRST (2500 * BASE_MS)
/* Between the beginnings of two faults: some overlap, some are alone. */
#define FAULT_GAP_MIN (100 * BASE_MS)
#define FAULT_GAP_MAX (1600 * BASE_MS)
#define FAULT_AT_ONCE 4
/* A process that has only begun cannot take a signal yet. */
#define FAULT_PROCESS_AGE (1500 * BASE_MS)
#define FAULT_DELAY_MIN (20 * BASE_MS)
#define FAULT_DELAY_MAX (1500 * BASE_MS) /* over the time of most calls */
#define FAULT_AT_MOST 2 /* instances that a round of upkeep takes at once */

typedef struct fault fault_t;

typedef struct kind {
	const char *name;
	int weight;
	int64_t least; /* it lasts so long, microseconds */
	int64_t most;
	bool (*begin)(soak_t *soak, fault_t *fault);
	void (*end)(soak_t *soak, fault_t *fault); /* NULL: nothing to undo */
} kind_t;

struct fault {
	const kind_t *kind;
	int target;
	soak_link_t *link;
	int64_t until;
};

struct soak_faults {
	soak_t *soak;
	GPtrArray *active; /* fault_t */
	int64_t next;
	int begun;
	bool healed;
	int config; /* the last version that was written */
	bool waved; /* the round of upkeep was ordered */
};

static soak_process_t *node_of(soak_t *soak, const fault_t *fault)
{
	return soak->nodes[fault->target % SOAK_NODES];
}

static bool kill_one(soak_t *soak, fault_t *fault)
{
	soak_process_signal(node_of(soak, fault), SIGKILL);
	return true;
}

static bool kill_all(soak_t *soak, fault_t *fault)
{
	int i;

	(void)fault;
	for (i = 0; i < SOAK_NODES; i++)
		soak_process_signal(soak->nodes[i], SIGKILL);
	return true;
}

static bool pause_one(soak_t *soak, fault_t *fault)
{
	if (node_of(soak, fault)->paused)
		return false;
	soak_process_signal(node_of(soak, fault), SIGSTOP);
	return true;
}

static void resume_one(soak_t *soak, fault_t *fault)
{
	soak_process_signal(node_of(soak, fault), SIGCONT);
}

static bool stop_one(soak_t *soak, fault_t *fault)
{
	soak_process_t *node = node_of(soak, fault);

	if (base_clock_mono() - node->started < FAULT_PROCESS_AGE)
		return false;
	soak_process_signal(node, SIGTERM);
	return true;
}

static void stop_again(soak_t *soak, fault_t *fault)
{
	if (node_of(soak, fault)->terminated)
		soak_process_signal(node_of(soak, fault), SIGTERM);
}

static bool reload_one(soak_t *soak, fault_t *fault)
{
	soak_process_t *node = node_of(soak, fault);

	if (base_clock_mono() - node->started < FAULT_PROCESS_AGE)
		return false;
	soak_process_signal(node, SIGHUP);
	return true;
}

static bool disturb_link(soak_t *soak, fault_t *fault)
{
	soak_link_t **const links[] = { soak->stores, soak->instances,
					soak->peers, soak->callers_links,
					soak->workers };
	int which = (int)base_rng_below(&soak->rng, ARRAY_SIZE(links));
	int n = links[which] == soak->workers ? SOAK_WORKERS : SOAK_NODES;
	soak_trouble_t trouble = (soak_trouble_t)soak_between(
		&soak->rng, SOAK_LINK_SLOW, SOAK_LINK_RESET);

	fault->link = links[which][fault->target % n];
	soak_link_disturb(
		fault->link, trouble,
		soak_between(&soak->rng, FAULT_DELAY_MIN, FAULT_DELAY_MAX));
	return true;
}

static void heal_link(soak_t *soak, fault_t *fault)
{
	(void)soak;
	soak_link_disturb(fault->link, SOAK_LINK_FINE, 0);
}

static void cut_node(soak_t *soak, const fault_t *fault, soak_trouble_t trouble)
{
	int i = fault->target % SOAK_NODES;

	soak_link_disturb(soak->stores[i], trouble, 0);
	soak_link_disturb(soak->instances[i], trouble, 0);
	soak_link_disturb(soak->peers[i], trouble, 0);
	soak_link_disturb(soak->callers_links[i], trouble, 0);
}

static bool cut_one(soak_t *soak, fault_t *fault)
{
	cut_node(soak, fault, SOAK_LINK_SILENT);
	return true;
}

static void join_one(soak_t *soak, fault_t *fault)
{
	cut_node(soak, fault, SOAK_LINK_FINE);
}

static void turn(soak_t *soak, const char *name, const char *value)
{
	char *path = g_strdup_printf("/switch?%s=%s", name, value);

	soak_tell(soak, path, "x");
	g_free(path);
}

static void turn_to(soak_t *soak, const char *name, int64_t value)
{
	char text[24];

	g_snprintf(text, sizeof(text), "%lld", (long long)value);
	turn(soak, name, text);
}

static bool store_busy(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "store", "busy");
	return true;
}

static bool store_silent(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "store", "silent");
	return true;
}

static void store_fine(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "store", "fine");
}

static bool lose_answers(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn_to(soak, "lose", soak_between(&soak->rng, 10, 70));
	return true;
}

static void keep_answers(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "lose", "0");
}

static bool drop_history(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "history", "drop");
	return true;
}

static bool lapse_leases(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "leases", "lapse");
	return true;
}

static bool crash_worker(soak_t *soak, fault_t *fault)
{
	turn_to(soak, "crash", fault->target % SOAK_WORKERS);
	return true;
}

static bool silence_worker(soak_t *soak, fault_t *fault)
{
	turn_to(soak, base_rng_below(&soak->rng, 2) ? "mute" : "one-way",
		fault->target % SOAK_WORKERS);
	return true;
}

static void heal_worker(soak_t *soak, fault_t *fault)
{
	turn_to(soak, "heal", fault->target % SOAK_WORKERS);
}

static bool change_config(soak_t *soak, fault_t *fault)
{
	(void)fault;
	soak_configure(soak, ++soak->faults->config);
	return true;
}

static bool order_upkeep(soak_t *soak, fault_t *fault)
{
	(void)fault;
	if (soak->faults->waved)
		return false;
	soak->faults->waved = true;
	soak_order_upkeep(soak, FAULT_AT_MOST);
	return true;
}

static bool longer_tasks(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn_to(soak, "task-ms", soak_between(&soak->rng, 50, 2500));
	return true;
}

static void usual_tasks(soak_t *soak, fault_t *fault)
{
	(void)fault;
	turn(soak, "task-ms", "300");
}

static const kind_t kinds[] = {
	{ "kill", 10, 0, 0, kill_one, NULL },
	{ "kill all", 2, 0, 0, kill_all, NULL },
	{ "pause", 8, 200 * BASE_MS, 5 * BASE_SEC, pause_one, resume_one },
	{ "stop", 8, 50 * BASE_MS, BASE_SEC, stop_one, stop_again },
	{ "reload", 4, 0, 0, reload_one, NULL },
	{ "link", 20, 200 * BASE_MS, 4 * BASE_SEC, disturb_link, heal_link },
	{ "cut", 8, 300 * BASE_MS, 5 * BASE_SEC, cut_one, join_one },
	{ "store busy", 4, 200 * BASE_MS, 4 * BASE_SEC, store_busy,
	  store_fine },
	{ "store silent", 4, 200 * BASE_MS, 4 * BASE_SEC, store_silent,
	  store_fine },
	{ "answers lost", 5, 500 * BASE_MS, 3 * BASE_SEC, lose_answers,
	  keep_answers },
	{ "history dropped", 4, 0, 0, drop_history, NULL },
	{ "leases lapse", 4, 0, 0, lapse_leases, NULL },
	{ "worker crash", 8, 0, 0, crash_worker, NULL },
	{ "worker silent", 8, 300 * BASE_MS, 6 * BASE_SEC, silence_worker,
	  heal_worker },
	{ "configuration", 6, 0, 0, change_config, NULL },
	{ "upkeep", 4, 0, 0, order_upkeep, NULL },
	{ "long tasks", 5, 500 * BASE_MS, 5 * BASE_SEC, longer_tasks,
	  usual_tasks },
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
	faults->config = 1;
	faults->next = base_clock_mono() + FAULT_FIRST;
	return faults;
}

static const kind_t *draw_kind(soak_t *soak)
{
	int64_t total = 0;
	int64_t at;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(kinds); i++)
		total += kinds[i].weight;
	at = soak_between(&soak->rng, 0, total - 1);
	for (i = 0; at >= kinds[i].weight; i++)
		at -= kinds[i].weight;
	return &kinds[i];
}

static void tell(const soak_faults_t *faults, const fault_t *fault, bool begins)
{
	printf("{\"at_ms\":%lld,\"fault\":\"%s\",\"target\":%d,\"%s\":true}\n",
	       (long long)((base_clock_mono() - faults->soak->began) / BASE_MS),
	       fault->kind->name, fault->target, begins ? "begins" : "ends");
}

static void end_fault(soak_faults_t *faults, guint at)
{
	fault_t *fault = g_ptr_array_index(faults->active, at);

	if (fault->kind->end)
		fault->kind->end(faults->soak, fault);
	tell(faults, fault, false);
	g_ptr_array_remove_index_fast(faults->active, at);
	talloc_free(fault);
}

/* All that a fault draws is drawn whether it fits or not, so that what comes
 * after depends on the seed alone. */
static void begin_fault(soak_faults_t *faults, int64_t now)
{
	soak_t *soak = faults->soak;
	fault_t *fault = talloc_zero(faults, fault_t);

	fault->kind = draw_kind(soak);
	fault->target = (int)base_rng_below(&soak->rng, SOAK_WORKERS);
	fault->until = now + soak_between(&soak->rng, fault->kind->least,
					  fault->kind->most);
	if (!fault->kind->begin(soak, fault)) {
		talloc_free(fault);
		return;
	}
	faults->begun++;
	tell(faults, fault, true);
	g_ptr_array_add(faults->active, fault);
}

void soak_faults_tick(soak_faults_t *faults, int64_t now)
{
	guint i;

	for (i = faults->active->len; i-- > 0;) {
		const fault_t *fault = g_ptr_array_index(faults->active, i);

		if (now >= fault->until)
			end_fault(faults, i);
	}
	if (faults->healed || now < faults->next ||
	    faults->active->len >= FAULT_AT_ONCE)
		return;
	begin_fault(faults, now);
	faults->next = now + soak_between(&faults->soak->rng, FAULT_GAP_MIN,
					  FAULT_GAP_MAX);
}

void soak_faults_heal(soak_faults_t *faults)
{
	faults->healed = true;
	while (faults->active->len)
		end_fault(faults, 0);
}

int soak_faults_count(const soak_faults_t *faults)
{
	return faults->begun;
}
