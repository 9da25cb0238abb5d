#include "http/tls.h"

#include "common/error.h"

#include <errno.h>
#include <gnutls/gnutls.h>
#include <stdbool.h>
#include <string.h>

struct tls_credentials {
	gatomicrefcount references;
	gnutls_certificate_credentials_t certificate;
};

struct tls_session {
	tls_credentials_t *credentials;
	gnutls_session_t session;
	bool established;
};

tls_credentials_t *tls_credentials_create(const char *cert, const char *key,
					  GError **error)
{
	tls_credentials_t *credentials = g_new0(tls_credentials_t, 1);
	gnutls_datum_t cert_text = {(unsigned char *)cert, (unsigned int)strlen(cert)};
	gnutls_datum_t key_text = {(unsigned char *)key, (unsigned int)strlen(key)};

	g_atomic_ref_count_init(&credentials->references);
	gnutls_certificate_allocate_credentials(&credentials->certificate);
	int code = gnutls_certificate_set_x509_key_mem(
		credentials->certificate, &cert_text, &key_text, GNUTLS_X509_FMT_PEM);
	if (code >= 0)
		return credentials;
	g_set_error(error, EGRET_ERROR, EGRET_ERROR_LIBRARY,
		    "cannot use the certificate and key for callers: %s",
		    gnutls_strerror(code));
	tls_credentials_unref(credentials);
	return NULL;
}

void tls_credentials_unref(tls_credentials_t *credentials)
{
	if (!credentials || !g_atomic_ref_count_dec(&credentials->references))
		return;
	gnutls_certificate_free_credentials(credentials->certificate);
	g_free(credentials);
}

tls_session_t *tls_session_create(tls_credentials_t *credentials, int fd)
{
	tls_session_t *session = g_new0(tls_session_t, 1);

	g_atomic_ref_count_inc(&credentials->references);
	session->credentials = credentials;
	gnutls_init(&session->session,
		    GNUTLS_SERVER | GNUTLS_NONBLOCK | GNUTLS_NO_SIGNAL);
	gnutls_set_default_priority(session->session);
	gnutls_credentials_set(session->session, GNUTLS_CRD_CERTIFICATE,
			       credentials->certificate);
	gnutls_transport_set_int(session->session, fd);
	return session;
}

void tls_session_destroy(tls_session_t *session)
{
	if (!session)
		return;
	gnutls_deinit(session->session);
	tls_credentials_unref(session->credentials);
	g_free(session);
}

static ssize_t fail(ssize_t code)
{
	errno = code == GNUTLS_E_AGAIN || code == GNUTLS_E_INTERRUPTED ? EAGAIN : EPROTO;
	return -1;
}

static ssize_t shake_hands(tls_session_t *session)
{
	if (session->established)
		return 0;
	int code = gnutls_handshake(session->session);
	while (code < 0 && code != GNUTLS_E_AGAIN && !gnutls_error_is_fatal(code))
		code = gnutls_handshake(session->session);
	session->established = code == 0;
	return code;
}

ssize_t tls_session_recv(tls_session_t *session, void *buffer, size_t size)
{
	ssize_t code = shake_hands(session);

	if (code == 0)
		code = gnutls_record_recv(session->session, buffer, size);
	/* Many clients close without saying so. */
	if (code == GNUTLS_E_PREMATURE_TERMINATION)
		return 0;
	return code >= 0 ? code : fail(code);
}

bool tls_session_has_data(const tls_session_t *session)
{
	return session->established && gnutls_record_check_pending(session->session) > 0;
}

ssize_t tls_session_send(tls_session_t *session, const void *data, size_t len)
{
	ssize_t code = shake_hands(session);

	if (code == 0)
		code = gnutls_record_send(session->session, data, len);
	return code >= 0 ? code : fail(code);
}

void tls_session_bye(tls_session_t *session)
{
	if (session->established)
		gnutls_bye(session->session, GNUTLS_SHUT_WR);
}
