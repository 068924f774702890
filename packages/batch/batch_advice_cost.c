/*
 * What a question to the policy service takes: a line over the number of
 * workers that it names, fitted to the answers of the queue so far.  The
 * configuration gives the line to begin with, and the service may be slower
 * than that.
 */
#include "batch_int.h"

/* Weight of older answers when one more comes. */
#define COST_DECAY 0.7
/* Weight of the configured line, at each of the two points that define it. */
#define COST_PRIOR_WEIGHT 0.05
/* The line of a queue whose configuration says nothing. */
#define COST_DECISION_DEFAULT (50 * BASE_MS)
#define COST_PERIOD_DEFAULT (5 * BASE_MS)
/* A question is overdue after twice the expected time and this much more. */
#define COST_OVERDUE_SLACK BASE_SEC
#define COST_OVERDUE_MIN (2 * BASE_SEC)
/* The queue is asked again once a question is overdue.  That time is doubled
 * with each question without an answer, up to this or twice its first value. */
#define COST_RETRY_MAX (60 * BASE_SEC)
/* A question stays open for so many times the time of the next: the service may
 * still be at work on it. */
#define COST_GIVE_UP_FACTOR 4
/* Part of its validity that a ticket may lose to the question. */
#define COST_VALIDITY_PART 3
/* Refusals in a row from which questions name fewer workers. */
#define COST_REFUSED_MAX 2

typedef struct line {
	double base;
	double slope;
} line_t;

static void add_point(batch_advice_sums_t *sums, double weight, double n,
		      double t)
{
	sums->weight += weight;
	sums->n += weight * n;
	sums->nn += weight * n * n;
	sums->t += weight * t;
	sums->nt += weight * n * t;
}

static line_t configured_line(const batch_advice_cost_t *cost)
{
	const batch_policy_t *policy = &cost->policy;
	bool is_given = policy->decision > 0 || policy->period > 0;

	return (line_t){
		.base = (double)(is_given ? policy->decision
					  : COST_DECISION_DEFAULT),
		.slope = (double)(is_given ? policy->period
					   : COST_PERIOD_DEFAULT),
	};
}

/* Least squares; neither part of a line is negative. */
static line_t fit_line(const batch_advice_cost_t *cost)
{
	line_t line = configured_line(cost);
	batch_advice_sums_t sums = cost->sums;
	double spread;

	add_point(&sums, COST_PRIOR_WEIGHT, 1, line.base + line.slope);
	add_point(&sums, COST_PRIOR_WEIGHT, BATCH_ADVICE_WORKERS_MAX,
		  line.base + line.slope * BATCH_ADVICE_WORKERS_MAX);
	spread = sums.weight * sums.nn - sums.n * sums.n;
	line.slope = (sums.weight * sums.nt - sums.n * sums.t) / spread;
	line.base = (sums.t - line.slope * sums.n) / sums.weight;
	if (line.slope < 0)
		line = (line_t){ .base = sums.t / sums.weight };
	else if (line.base < 0)
		line = (line_t){ .slope = sums.nt / sums.nn };
	return line;
}

void batch_advice_cost_config(batch_advice_cost_t *cost,
			      const batch_policy_t *policy)
{
	if (!memcmp(&cost->policy, policy, sizeof(*policy)))
		return;
	*cost = (batch_advice_cost_t){ .policy = *policy };
}

int64_t batch_advice_cost_expected(const batch_advice_cost_t *cost, size_t n)
{
	line_t line = fit_line(cost);

	return (int64_t)(line.base + line.slope * (double)n);
}

int64_t batch_advice_cost_validity(const batch_advice_cost_t *cost)
{
	return cost->validity > 0 ? cost->validity : cost->policy.validity;
}

size_t batch_advice_cost_limit(const batch_advice_cost_t *cost, size_t max)
{
	int64_t validity = batch_advice_cost_validity(cost);
	int64_t part = validity / COST_VALIDITY_PART;
	line_t line = fit_line(cost);

	if (cost->limit)
		max = MIN(max, cost->limit);
	if (validity > 0 && line.base + line.slope * (double)max > (double)part)
		max = line.slope > 0 && (double)part > line.base
			      ? (size_t)(((double)part - line.base) /
					 line.slope)
			      : 1;
	return MAX(max, 1);
}

int64_t batch_advice_cost_overdue(const batch_advice_cost_t *cost, size_t n)
{
	return MAX(2 * batch_advice_cost_expected(cost, n) + COST_OVERDUE_SLACK,
		   COST_OVERDUE_MIN);
}

int64_t batch_advice_cost_retry(const batch_advice_cost_t *cost, size_t n)
{
	int64_t retry = batch_advice_cost_overdue(cost, n);
	int64_t most = MAX(COST_RETRY_MAX, 2 * retry);
	int i;

	for (i = 0; i < cost->unanswered && retry < most; i++)
		retry = MIN(2 * retry, most);
	return retry;
}

int64_t batch_advice_cost_timeout(const batch_advice_cost_t *cost, size_t n)
{
	return COST_GIVE_UP_FACTOR * batch_advice_cost_retry(cost, n);
}

void batch_advice_cost_answered(batch_advice_cost_t *cost, size_t n,
				int64_t took, int64_t validity)
{
	batch_advice_sums_t *sums = &cost->sums;

	/* What was learned before the service fell silent is outdated. */
	if (cost->unanswered)
		*sums = (batch_advice_sums_t){ 0 };
	sums->weight *= COST_DECAY;
	sums->n *= COST_DECAY;
	sums->nn *= COST_DECAY;
	sums->t *= COST_DECAY;
	sums->nt *= COST_DECAY;
	add_point(sums, 1, (double)n, (double)took);
	if (validity > 0)
		cost->validity = validity;
	cost->unanswered = 0;
	cost->refused = 0;
	cost->limit *= 2;
	if (cost->limit >= BATCH_ADVICE_WORKERS_MAX)
		cost->limit = 0;
}

static void halve_limit(batch_advice_cost_t *cost, size_t n)
{
	cost->limit = MAX(n / 2, 1);
}

void batch_advice_cost_unanswered(batch_advice_cost_t *cost, size_t n)
{
	cost->unanswered++;
	halve_limit(cost, n);
}

void batch_advice_cost_refused(batch_advice_cost_t *cost, size_t n)
{
	cost->refused++;
	if (cost->refused >= COST_REFUSED_MAX)
		halve_limit(cost, n);
}
