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
 *	The secret file holds one or two secrets, one a line, each 32 bytes in
 *	hex. The first one signs; either one is accepted, so that a secret can be
 *	replaced on all nodes one after the other. TCP connections start with a
 *	challenge of fixed-size messages (no parsing); each side proves the secret
 *	over both nonces. Datagrams carry a keyed digest.
 *
 * THREADS
 *	peer_auth_load() swaps the secrets under a lock; all calls are safe from
 *	any thread. The secrets are kept in locked memory and never logged.
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

peer_auth_t *peer_auth_create(const char *path, GError **error);

/* With one secret that is not kept in a file; peer_auth_reload() keeps it. */
peer_auth_t *peer_auth_create_fixed(const uint8_t secret[PEER_SECRET_BYTES],
				    GError **error);
void peer_auth_destroy(peer_auth_t *auth);

/* Reads the secret file again; on an error the old secrets stay. */
bool peer_auth_reload(peer_auth_t *auth, GError **error);

/* Writes the proof of `role` over the nonces with secret number `index`. */
void peer_auth_prove(peer_auth_t *auth, int index, peer_role_t role,
		     const uint8_t client_nonce[PEER_NONCE_BYTES],
		     const uint8_t server_nonce[PEER_NONCE_BYTES],
		     uint8_t out[PEER_PROOF_BYTES]);

/* Returns the number of the secret that verifies the proof, or -1. */
int peer_auth_verify(peer_auth_t *auth, peer_role_t role,
		     const uint8_t client_nonce[PEER_NONCE_BYTES],
		     const uint8_t server_nonce[PEER_NONCE_BYTES],
		     const uint8_t proof[PEER_PROOF_BYTES]);

void peer_auth_sign_datagram(peer_auth_t *auth, const uint8_t *data, size_t len,
			     uint8_t tag[DATAGRAM_TAG_BYTES]);
bool peer_auth_verify_datagram(peer_auth_t *auth, const uint8_t *data, size_t len,
			       const uint8_t tag[DATAGRAM_TAG_BYTES]);

#endif
