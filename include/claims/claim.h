#ifndef EGRET_CLAIMS_CLAIM_H
#define EGRET_CLAIMS_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	claim - the table row of an idempotency key
 *
 * DESCRIPTION
 *	A request with an Idempotency-Key runs only after a row was created for
 *	(account, key) in the table service. When the request is done, the row
 *	holds the response, or names the object that does. claim_check() decides
 *	how a repeated request is handled, given the existing row.
 *
 * THREADS
 *	Any; there is no shared state.
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
	uint64_t owner;	    /* random id of this claim */
	uint32_t status;    /* 0 after decoding if it is not from 200 to 599 */
	GPtrArray *headers; /* of header_t */
	GBytes *body;	    /* of the response; NULL if in an object */
	char *object;	    /* name of the object, or NULL */
} claim_row_t;

typedef enum claim_verdict {
	CLAIM_REPLAY,	/* the row holds the response */
	CLAIM_FETCH,	/* an object holds the response */
	CLAIM_BUSY,	/* the request is running, or its outcome is unknown */
	CLAIM_MISMATCH, /* the key was used for another request */
	CLAIM_LOST,	/* the request ran, and its stored status is not one of HTTP */
} claim_verdict_t;

/* Row key: claim/ACCOUNT/SHA-256 of the idempotency key. Free with g_free(). */
char *claim_row_key(const char *account, const char *idempotency_key);

/* Returns JSON text; free with free(3). */
char *claim_row_encode(const claim_row_t *row);
/* Returns false, with an empty row, if the text is not a claim. Free the row's contents
 * with claim_row_clear(). */
bool claim_row_decode(const char *text, claim_row_t *out);
void claim_row_clear(claim_row_t *row);

claim_verdict_t claim_check(const claim_row_t *row, uint64_t fingerprint);

#endif
