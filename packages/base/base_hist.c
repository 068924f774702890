#include <gsl/gsl_histogram.h>
#include <math.h>

#include "base_int.h"

struct base_hist {
	gsl_histogram *bins;
	uint64_t count;
	int64_t sum_us;
};

static size_t bin_count(void);
static int free_bins(base_hist_t *hist);

base_hist_t *base_hist_new(const void *ctx)
{
	base_hist_t *hist = talloc_zero(ctx, base_hist_t);
	size_t n = bin_count();
	double edge = BASE_HIST_MIN_US;

	hist->bins = gsl_histogram_alloc(n);
	hist->bins->range[0] = 0.0;
	for (size_t i = 1; i <= n; i++) {
		hist->bins->range[i] = edge;
		edge *= BASE_HIST_RATIO;
	}
	gsl_histogram_reset(hist->bins);
	talloc_set_destructor(hist, free_bins);
	return hist;
}

void base_hist_add(base_hist_t *hist, int64_t us)
{
	double value = us < 0 ? 0.0 : (double)us;
	double top = hist->bins->range[hist->bins->n];

	if (value >= top)
		value = hist->bins->range[hist->bins->n - 1];
	gsl_histogram_increment(hist->bins, value);
	hist->count++;
	hist->sum_us += us < 0 ? 0 : us;
}

void base_hist_merge(base_hist_t *hist, const base_hist_t *other)
{
	gsl_histogram_add(hist->bins, other->bins);
	hist->count += other->count;
	hist->sum_us += other->sum_us;
}

uint64_t base_hist_count(const base_hist_t *hist)
{
	return hist->count;
}

int64_t base_hist_sum(const base_hist_t *hist)
{
	return hist->sum_us;
}

uint64_t base_hist_below(const base_hist_t *hist, int64_t us)
{
	double seen = 0.0;

	for (size_t i = 0; i < hist->bins->n; i++) {
		if (hist->bins->range[i + 1] > (double)us * BASE_HIST_RATIO)
			break;
		seen += gsl_histogram_get(hist->bins, i);
	}
	return (uint64_t)seen;
}

double base_hist_quantile(const base_hist_t *hist, double q)
{
	double rank = ceil(q * (double)hist->count);
	double seen = 0.0;

	if (!hist->count)
		return 0.0;
	for (size_t i = 0; i < hist->bins->n; i++) {
		seen += gsl_histogram_get(hist->bins, i);
		if (seen >= rank && seen > 0.0)
			return hist->bins->range[i + 1];
	}
	return hist->bins->range[hist->bins->n];
}

static size_t bin_count(void)
{
	double log_span = log(BASE_HIST_MAX_US / BASE_HIST_MIN_US);

	return (size_t)ceil(log_span / log(BASE_HIST_RATIO)) + 1;
}

static int free_bins(base_hist_t *hist)
{
	gsl_histogram_free(hist->bins);
	return 0;
}
