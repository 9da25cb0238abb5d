#ifndef EGRET_WIRE_PEER_AUTH_H
#define EGRET_WIRE_PEER_AUTH_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	peer_auth - authentication between nodes with the peer secret
 *
 * DESCRIPTION
 *	The secret file holds one or two secrets, one per line, each 32 bytes in
 *	hex. The first one creates proofs and tags. Both are accepted when a proof
 *	or tag is verified, so that a secret can be rotated node by node. The
 *	secrets are kept in locked memory and never logged.
 *
 *	A TCP connection starts with a challenge-response handshake of fixed-size
 *	messages, so that no parser sees data of an unauthenticated peer. Each side
 *	sends a nonce and a proof, which is a keyed hash over its role and both
 *	nonces. A datagram carries a tag, which is a keyed hash over its data.
 *
 * THREADS
 *	All functions but peer_auth_create(), peer_auth_create_fixed() and
 *	peer_auth_destroy() are safe from any thread. peer_auth_reload() replaces
 *	the secrets under a lock.
 */

typedef struct peer_auth peer_auth_t;

#define PEER_SECRET_BYTES 32
#define PEER_NONCE_BYTES 32
#define PEER_PROOF_BYTES 32
#define DATAGRAM_TAG_BYTES 16

typedef enum peer_role {
	PEER_ROLE_CLIENT,
	PEER_ROLE_SERVER,
} peer_role_t;

/*
 * Reads the secrets from the file at path. Returns NULL with error set: an error of
 * G_FILE_ERROR if the file cannot be read, EGRET_ERROR_SETTING if its content is invalid,
 * or EGRET_ERROR_LIBRARY if libsodium fails to initialize.
 */
peer_auth_t *peer_auth_create(const char *path, GError **error);

/* Uses one given secret instead of a file; peer_auth_reload() then has no effect. */
peer_auth_t *peer_auth_create_fixed(const uint8_t secret[PEER_SECRET_BYTES],
				    GError **error);
void peer_auth_destroy(peer_auth_t *auth);

/* Reads the secret file again. On failure the old secrets stay in use. */
bool peer_auth_reload(peer_auth_t *auth, GError **error);

/* Computes the proof of `role` with secret number `index`, or with the first secret if
 * there is no such number after a reload. */
void peer_auth_prove(peer_auth_t *auth, int index, peer_role_t role,
		     const uint8_t client_nonce[PEER_NONCE_BYTES],
		     const uint8_t server_nonce[PEER_NONCE_BYTES],
		     uint8_t out[PEER_PROOF_BYTES]);

/* Returns the number of the secret that verifies the proof, or -1 if none does. */
int peer_auth_verify(peer_auth_t *auth, peer_role_t role,
		     const uint8_t client_nonce[PEER_NONCE_BYTES],
		     const uint8_t server_nonce[PEER_NONCE_BYTES],
		     const uint8_t proof[PEER_PROOF_BYTES]);

void peer_auth_sign_datagram(peer_auth_t *auth, const uint8_t *data, size_t len,
			     uint8_t tag[DATAGRAM_TAG_BYTES]);
bool peer_auth_verify_datagram(peer_auth_t *auth, const uint8_t *data, size_t len,
			       const uint8_t tag[DATAGRAM_TAG_BYTES]);

#endif
