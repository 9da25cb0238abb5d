#ifndef EGRET_HTTP_BODY_H
#define EGRET_HTTP_BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	body - a bounded byte queue between the two ends of a streamed body
 *
 * DESCRIPTION
 *	The writer appends bytes until body_room() is 0. The writable callback runs
 *	after each read that frees space. The readable callback runs when bytes, the
 *	end or an abort arrive. Callbacks may read or write the queue but must not
 *	destroy it.
 *
 * THREADS
 *	The writer and the reader run on the same thread.
 */

typedef struct body body_t;

/* Maximum number of bytes queued between the writer and the reader. */
#define BODY_WINDOW_BYTES (64u << 10)

typedef void (*body_event_fn)(void *ctx);

body_t *body_create(void);
void body_destroy(body_t *body);

/* Sets the callback for the reader; a later call replaces it. */
void body_on_readable(body_t *body, body_event_fn fn, void *ctx);

/* Sets the callback for the writer; a later call replaces it. */
void body_on_writable(body_t *body, body_event_fn fn, void *ctx);

/* Bytes that body_write() accepts now; 0 after the end or an abort. */
size_t body_room(const body_t *body);

/* Bytes written but not read yet. */
size_t body_pending(const body_t *body);

/* Appends at most body_room() bytes and returns the number of bytes appended. */
size_t body_write(body_t *body, const void *data, size_t len);

/* Marks the body as complete. Has no effect after an abort. */
void body_end(body_t *body);

/* Marks the body as truncated. Bytes that are already queued stay readable. */
void body_abort(body_t *body);

/* Reads at most len bytes and returns the number of bytes read. */
size_t body_read(body_t *body, void *out, size_t len);

/* Whether the body is complete and all its bytes were read. */
bool body_finished(const body_t *body);

/* Whether body_end() was called; bytes may still be pending. */
bool body_ended(const body_t *body);

/* Whether body_abort() was called. */
bool body_aborted(const body_t *body);

#endif
