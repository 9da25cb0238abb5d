#include "wire/peer_auth.h"

#include "common/error.h"

#include <pthread.h>
#include <sodium.h>
#include <string.h>

#define SECRETS_MAX 2

struct peer_auth {
	pthread_mutex_t lock;
	char *path;
	int count;
	uint8_t *secrets; /* SECRETS_MAX * PEER_SECRET_BYTES bytes of locked memory */
};

static bool parse_secrets(const char *path, uint8_t *out, int *count, GError **error)
{
	gchar *text = NULL;
	gsize len = 0;

	if (!g_file_get_contents(path, &text, &len, error))
		return false;
	gchar **lines = g_strsplit(text, "\n", -1);
	*count = 0;
	bool ok = true;
	for (gchar **line = lines; *line && ok; line++) {
		size_t decoded_len = 0;

		g_strstrip(*line);
		if (!**line)
			continue;
		ok = *count < SECRETS_MAX && strlen(*line) == 2 * PEER_SECRET_BYTES &&
		     sodium_hex2bin(out + *count * PEER_SECRET_BYTES, PEER_SECRET_BYTES,
				    *line, 2 * PEER_SECRET_BYTES, NULL, &decoded_len,
				    NULL) == 0 &&
		     decoded_len == PEER_SECRET_BYTES;
		(*count)++;
		sodium_memzero(*line, strlen(*line));
	}
	ok = ok && *count > 0;
	g_strfreev(lines);
	sodium_memzero(text, len);
	g_free(text);
	if (!ok)
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_SETTING,
			    "%s must contain one or two lines of %d hex digits", path,
			    2 * PEER_SECRET_BYTES);
	return ok;
}

static peer_auth_t *create_without_secrets(GError **error)
{
	/* Every request needs random ids. libsodium's internal generator, which is seeded
	 * by the system, avoids a system call for each of them. */
	if (randombytes_set_implementation(&randombytes_internal_implementation) != 0 ||
	    sodium_init() < 0) {
		g_set_error(error, EGRET_ERROR, EGRET_ERROR_LIBRARY,
			    "libsodium failed to initialize");
		return NULL;
	}
	peer_auth_t *auth = g_new0(peer_auth_t, 1);
	pthread_mutex_init(&auth->lock, NULL);
	auth->secrets = sodium_allocarray(SECRETS_MAX, PEER_SECRET_BYTES);
	return auth;
}

peer_auth_t *peer_auth_create_fixed(const uint8_t secret[PEER_SECRET_BYTES],
				    GError **error)
{
	peer_auth_t *auth = create_without_secrets(error);

	if (!auth)
		return NULL;
	memcpy(auth->secrets, secret, PEER_SECRET_BYTES);
	auth->count = 1;
	return auth;
}

peer_auth_t *peer_auth_create(const char *path, GError **error)
{
	peer_auth_t *auth = create_without_secrets(error);

	if (!auth)
		return NULL;
	auth->path = g_strdup(path);
	if (!peer_auth_reload(auth, error)) {
		peer_auth_destroy(auth);
		return NULL;
	}
	return auth;
}

void peer_auth_destroy(peer_auth_t *auth)
{
	if (!auth)
		return;
	sodium_free(auth->secrets);
	pthread_mutex_destroy(&auth->lock);
	g_free(auth->path);
	g_free(auth);
}

bool peer_auth_reload(peer_auth_t *auth, GError **error)
{
	uint8_t new_secrets[SECRETS_MAX * PEER_SECRET_BYTES] = {0};
	int count;

	if (!auth->path)
		return true;
	if (!parse_secrets(auth->path, new_secrets, &count, error))
		return false;
	pthread_mutex_lock(&auth->lock);
	memcpy(auth->secrets, new_secrets, sizeof(new_secrets));
	auth->count = count;
	pthread_mutex_unlock(&auth->lock);
	sodium_memzero(new_secrets, sizeof(new_secrets));
	return true;
}

static void compute_proof(const uint8_t *secret, peer_role_t role,
			  const uint8_t *client_nonce, const uint8_t *server_nonce,
			  uint8_t *out)
{
	crypto_generichash_state hash;
	uint8_t label = role == PEER_ROLE_CLIENT ? 'c' : 's';

	crypto_generichash_init(&hash, secret, PEER_SECRET_BYTES, PEER_PROOF_BYTES);
	crypto_generichash_update(&hash, &label, 1);
	crypto_generichash_update(&hash, client_nonce, PEER_NONCE_BYTES);
	crypto_generichash_update(&hash, server_nonce, PEER_NONCE_BYTES);
	crypto_generichash_final(&hash, out, PEER_PROOF_BYTES);
}

void peer_auth_prove(peer_auth_t *auth, int index, peer_role_t role,
		     const uint8_t client_nonce[PEER_NONCE_BYTES],
		     const uint8_t server_nonce[PEER_NONCE_BYTES],
		     uint8_t out[PEER_PROOF_BYTES])
{
	pthread_mutex_lock(&auth->lock);
	if (index >= auth->count)
		index = 0;
	compute_proof(auth->secrets + index * PEER_SECRET_BYTES, role, client_nonce,
		      server_nonce, out);
	pthread_mutex_unlock(&auth->lock);
}

int peer_auth_verify(peer_auth_t *auth, peer_role_t role,
		     const uint8_t client_nonce[PEER_NONCE_BYTES],
		     const uint8_t server_nonce[PEER_NONCE_BYTES],
		     const uint8_t proof[PEER_PROOF_BYTES])
{
	uint8_t expected[PEER_PROOF_BYTES];
	int found = -1;

	pthread_mutex_lock(&auth->lock);
	for (int i = 0; i < auth->count && found < 0; i++) {
		compute_proof(auth->secrets + i * PEER_SECRET_BYTES, role, client_nonce,
			      server_nonce, expected);
		if (sodium_memcmp(expected, proof, sizeof(expected)) == 0)
			found = i;
	}
	pthread_mutex_unlock(&auth->lock);
	return found;
}

static void compute_tag(const uint8_t *secret, const uint8_t *data, size_t len,
			uint8_t *tag)
{
	crypto_generichash(tag, DATAGRAM_TAG_BYTES, data, len, secret, PEER_SECRET_BYTES);
}

void peer_auth_sign_datagram(peer_auth_t *auth, const uint8_t *data, size_t len,
			     uint8_t tag[DATAGRAM_TAG_BYTES])
{
	pthread_mutex_lock(&auth->lock);
	compute_tag(auth->secrets, data, len, tag);
	pthread_mutex_unlock(&auth->lock);
}

bool peer_auth_verify_datagram(peer_auth_t *auth, const uint8_t *data, size_t len,
			       const uint8_t tag[DATAGRAM_TAG_BYTES])
{
	uint8_t expected[DATAGRAM_TAG_BYTES];
	bool ok = false;

	pthread_mutex_lock(&auth->lock);
	for (int i = 0; i < auth->count && !ok; i++) {
		compute_tag(auth->secrets + i * PEER_SECRET_BYTES, data, len, expected);
		ok = sodium_memcmp(expected, tag, sizeof(expected)) == 0;
	}
	pthread_mutex_unlock(&auth->lock);
	return ok;
}
