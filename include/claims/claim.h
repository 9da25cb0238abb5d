#ifndef EGRET_CLAIMS_CLAIM_H
#define EGRET_CLAIMS_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	claim - the row of an idempotency key
 *
 * DESCRIPTION
 *	A request with an Idempotency-Key runs only after a row was created for
 *	(account, key) in the table service. The row then holds the answer, or
 *	names the object that does. claim_check() decides what a repeated request
 *	gets from the row it meets.
 */

#define CLAIM_INLINE_MAX_BYTES (8u << 10)
#define CLAIM_RESPONSE_MAX_BYTES (8u << 20)
#define CLAIM_KEY_MAX_BYTES 256

typedef enum claim_state {
	CLAIM_RUNNING,
	CLAIM_DONE,
} claim_state_t;

typedef struct claim_row {
	claim_state_t state;
	uint64_t fingerprint;
	uint64_t owner; /* random id of the claim */
	uint32_t status;
	GPtrArray *headers; /* of header_t */
	GBytes *body;	    /* NULL if in an object */
	char *object;
} claim_row_t;

typedef enum claim_verdict {
	CLAIM_REPLAY,	/* the kept answer */
	CLAIM_FETCH,	/* the kept answer is in an object */
	CLAIM_BUSY,	/* runs now, or its outcome is unknown */
	CLAIM_MISMATCH, /* the key was used for another request */
} claim_verdict_t;

/* Row key: claim/ACCOUNT/SHA-256 of the idempotency key. Free with g_free(). */
char *claim_row_key(const char *account, const char *idempotency_key);

/* JSON text; free with free(3). */
char *claim_row_encode(const claim_row_t *row);
bool claim_row_decode(const char *text, claim_row_t *out);
void claim_row_clear(claim_row_t *row);

claim_verdict_t claim_check(const claim_row_t *row, uint64_t fingerprint);

#endif
