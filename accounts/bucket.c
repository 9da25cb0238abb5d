#include "accounts/bucket.h"

#include <glib.h>

void bucket_refill(bucket_t *bucket, usec_t now)
{
	if (now > bucket->refilled_at) {
		double elapsed = (double)(now - bucket->refilled_at) / USEC_PER_SEC;
		bucket->tokens += bucket->rate * elapsed;
		bucket->refilled_at = now;
	}
	bucket->tokens = MIN(bucket->tokens, bucket->capacity);
}

bool bucket_take(bucket_t *bucket, usec_t now, double tokens)
{
	bucket_refill(bucket, now);
	if (bucket->tokens < tokens)
		return false;
	bucket->tokens -= tokens;
	return true;
}

void bucket_resize(bucket_t *bucket, usec_t now, double rate, double capacity)
{
	bucket_refill(bucket, now);
	bucket->rate = MAX(rate, 0);
	bucket->capacity = MAX(capacity, 0);
	bucket->tokens = MIN(bucket->tokens, bucket->capacity);
}
