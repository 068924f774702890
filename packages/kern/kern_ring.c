#include <ck_ring.h>
#include <errno.h>
#include <time.h>

#include "kern_int.h"

/*
 * The messages are in the ck_ring; the lock and the condition variable let
 * the consumer wait.  Producers also take the lock, so that a wake-up is not
 * lost between the consumer's check of the ring and its wait.
 */
struct kern_ring {
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
	pthread_mutex_t lock;
	pthread_cond_t not_empty;
	bool is_woken;
};

static int free_ring(kern_ring_t *ring);
static struct timespec deadline_after(int64_t wait_us);

kern_ring_t *kern_ring_new(const void *ctx, unsigned size)
{
	kern_ring_t *ring = talloc_zero(ctx, kern_ring_t);
	pthread_condattr_t attr;

	ring->slots = talloc_zero_array(ring, ck_ring_buffer_t, size);
	ck_ring_init(&ring->ring, size);
	pthread_mutex_init(&ring->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&ring->not_empty, &attr);
	pthread_condattr_destroy(&attr);
	talloc_set_destructor(ring, free_ring);
	return ring;
}

bool kern_ring_put(kern_ring_t *ring, void *msg)
{
	bool queued;

	pthread_mutex_lock(&ring->lock);
	queued = ck_ring_enqueue_spsc(&ring->ring, ring->slots, msg);
	pthread_cond_signal(&ring->not_empty);
	pthread_mutex_unlock(&ring->lock);
	return queued;
}

void *kern_ring_take(kern_ring_t *ring, int64_t wait_us)
{
	struct timespec deadline = deadline_after(wait_us);
	void *msg = NULL;

	pthread_mutex_lock(&ring->lock);
	while (!ck_ring_dequeue_spsc(&ring->ring, ring->slots, &msg)) {
		msg = NULL;
		if (ring->is_woken)
			break;
		if (pthread_cond_timedwait(&ring->not_empty, &ring->lock,
					   &deadline) == ETIMEDOUT)
			break;
	}
	ring->is_woken = false;
	pthread_mutex_unlock(&ring->lock);
	return msg;
}

void kern_ring_wake(kern_ring_t *ring)
{
	pthread_mutex_lock(&ring->lock);
	ring->is_woken = true;
	pthread_cond_signal(&ring->not_empty);
	pthread_mutex_unlock(&ring->lock);
}

static int free_ring(kern_ring_t *ring)
{
	pthread_cond_destroy(&ring->not_empty);
	pthread_mutex_destroy(&ring->lock);
	return 0;
}

static struct timespec deadline_after(int64_t wait_us)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	t.tv_sec += wait_us / BASE_SEC;
	t.tv_nsec += wait_us % BASE_SEC * 1000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_sec++;
		t.tv_nsec -= 1000000000;
	}
	return t;
}
