#include "route_int.h"

#define RUN_WEIGHT 0.05 /* weight of an answer in the mean run time */

static const char *const outcomes[ROUTE_OUTCOME_MAX] = {
	[ROUTE_ANSWERED] = "answered",
	[ROUTE_NOT_RUN] = "not-run",
	[ROUTE_UNKNOWN] = "unknown",
};

static const char *const reasons[ROUTE_REASON_MAX] = {
	[ROUTE_REASON_NONE] = "none",
	[ROUTE_REASON_UNCONFIGURED] = "unconfigured",
	[ROUTE_REASON_NO_ENDPOINT] = "no-endpoint",
	[ROUTE_REASON_QUEUE_FULL] = "queue-full",
	[ROUTE_REASON_WAIT] = "wait-too-long",
	[ROUTE_REASON_DEADLINE] = "deadline",
	[ROUTE_REASON_REFUSED] = "endpoint-refused",
	[ROUTE_REASON_CONNECT] = "no-connection",
	[ROUTE_REASON_FAILED] = "connection-lost",
	[ROUTE_REASON_CUT_SHORT] = "answer-cut-short",
	[ROUTE_REASON_TIMEOUT] = "no-answer-in-time",
	[ROUTE_REASON_TOO_LARGE] = "answer-too-large",
	[ROUTE_REASON_CANCELLED] = "cancelled",
};

const char *route_outcome_name(route_outcome_t outcome)
{
	return outcomes[outcome];
}

const char *route_reason_name(route_reason_t reason)
{
	return reasons[reason];
}

void route_count_submit(route_request_t *req)
{
	req->cls->counts.submitted++;
	req->flow->counts.submitted++;
	req->flow->caller->counts.submitted++;
}

void route_count_start(route_request_t *req, int64_t now)
{
	req->cls->counts.attempts++;
	req->flow->counts.attempts++;
	req->flow->caller->counts.attempts++;
	if (req->attempts > 1)
		return;
	base_hist_add(req->cls->wait, now - req->submitted);
	base_hist_add(req->flow->caller->wait, now - req->submitted);
}

void route_count_run(route_request_t *req, int64_t us)
{
	route_class_t *cls = req->cls;
	double weight = cls->run_us > 0.0 ? RUN_WEIGHT : 1.0;

	cls->run_us += weight * ((double)us - cls->run_us);
	base_hist_add(cls->run, us);
	base_hist_add(req->flow->caller->run, us);
}

void route_count_end(route_request_t *req, const route_end_t *end)
{
	route_counts_t *counts[] = { &req->cls->counts, &req->flow->counts,
				     &req->flow->caller->counts };

	for (size_t i = 0; i < ARRAY_SIZE(counts); i++) {
		counts[i]->outcome[end->outcome]++;
		counts[i]->reason[end->reason]++;
	}
}
