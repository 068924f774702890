#include "entry_int.h"

void entry_lock_init(pthread_mutex_t *lock)
{
	pthread_mutexattr_t attr;

	pthread_mutexattr_init(&attr);
	pthread_mutexattr_settype(&attr, PTHREAD_MUTEX_ADAPTIVE_NP);
	pthread_mutex_init(lock, &attr);
	pthread_mutexattr_destroy(&attr);
}
