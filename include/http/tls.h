#ifndef EGRET_HTTP_TLS_H
#define EGRET_HTTP_TLS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/*
 * NAME
 *	tls - server side of TLS on a non-blocking socket, with GnuTLS
 *
 * ERRORS
 *	tls_session_recv() and tls_session_send() return -1 and set errno like recv()
 *	and send(): EAGAIN if the socket has to be polled first, also during the
 *	handshake, else EPROTO or the socket's error.
 *
 * OWNERSHIP
 *	Credentials are reference-counted: a session keeps those that it began with.
 */

typedef struct tls_credentials tls_credentials_t;
typedef struct tls_session tls_session_t;

/* Takes PEM texts. Returns NULL with EGRET_ERROR_LIBRARY set if they do not fit
 * together. */
tls_credentials_t *tls_credentials_create(const char *cert, const char *key,
					  GError **error);
void tls_credentials_unref(tls_credentials_t *credentials);

/* Does not own the socket. */
tls_session_t *tls_session_create(tls_credentials_t *credentials, int fd);
void tls_session_destroy(tls_session_t *session);

/* Both complete the handshake first. */
ssize_t tls_session_recv(tls_session_t *session, void *buffer, size_t size);
ssize_t tls_session_send(tls_session_t *session, const void *data, size_t len);

/* Whether data was read from the socket that tls_session_recv() has not returned yet. */
bool tls_session_has_data(const tls_session_t *session);

/* Tells the client that no more data follows; failures are ignored. */
void tls_session_bye(tls_session_t *session);

#endif
