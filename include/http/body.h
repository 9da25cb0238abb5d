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
 *	The writer appends bytes until body_room() is 0 and is told when there
 *	is room again; the reader is told when there are bytes, the end or an
 *	abort. Both ends run on one thread. Callbacks may read or write the
 *	queue but not destroy it.
 */

typedef struct body body_t;

/* Bytes queued at most between writer and reader. */
#define BODY_WINDOW_BYTES (64u << 10)

typedef void (*body_event_fn)(void *ctx);

body_t *body_create(void);
void body_destroy(body_t *body);

void body_on_readable(body_t *body, body_event_fn fn, void *ctx);
void body_on_writable(body_t *body, body_event_fn fn, void *ctx);

size_t body_room(const body_t *body);
size_t body_pending(const body_t *body);

/* Appends at most body_room() bytes; returns how many. */
size_t body_write(body_t *body, const void *data, size_t len);

/* Marks the end: the body is whole. */
void body_end(body_t *body);

/* Marks the body as cut: what follows will never come. */
void body_abort(body_t *body);

size_t body_read(body_t *body, void *out, size_t len);

/* All bytes were read and the body is whole. */
bool body_finished(const body_t *body);
bool body_ended(const body_t *body);
bool body_aborted(const body_t *body);

#endif
