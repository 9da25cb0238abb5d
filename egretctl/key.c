#include "egretctl/ctl.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define KEY_BYTES 32

static int write_key(const ctl_t *ctl, const char *name, const char *account,
		     const char *digest)
{
	GError *error = NULL;
	platform_t *platform = platform_open(ctl->platform, &error);

	if (!platform) {
		int status = ctl_fail("open the platform", error);
		g_clear_error(&error);
		return status;
	}
	json_t *json = json_pack("{s:s, s:s, s:i, s:s, s:s}", "kind", "key", "name", name,
				 "schema_version", RECORD_SCHEMA_VERSION, "digest",
				 digest, "account", account);
	char *value = json_dumps(json, JSON_COMPACT | JSON_SORT_KEYS);
	char *row = record_row_key(RECORD_KEY, name, RECORD_SCHEMA_VERSION);
	store_write_t write = {
		.key = row, .expected_revision = STORE_REVISION_NONE, .value = value};
	uint64_t revision = platform_commit(platform, &write, 1, &error);
	int status = revision ? CTL_OK : ctl_fail("write the key's digest", error);
	g_clear_error(&error);
	free(value);
	g_free(row);
	json_decref(json);
	platform_close(platform);
	return status;
}

/* Generates a key and prints it. The platform stores only its digest, so that the key
 * cannot be printed again. */
int ctl_key(ctl_t *ctl)
{
	uint8_t bytes[KEY_BYTES];
	uint8_t digest[crypto_hash_sha256_BYTES];
	char text[sodium_base64_ENCODED_LEN(KEY_BYTES,
					    sodium_base64_VARIANT_URLSAFE_NO_PADDING)];
	char hex[2 * crypto_hash_sha256_BYTES + 1];

	if (ctl->argc != 3 || strcmp(ctl->argv[0], "new") != 0 ||
	    !record_name_valid(ctl->argv[1]) || !record_name_valid(ctl->argv[2]))
		return ctl_usage("key new NAME ACCOUNT");
	randombytes_buf(bytes, sizeof(bytes));
	sodium_bin2base64(text, sizeof(text), bytes, sizeof(bytes),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	crypto_hash_sha256(digest, (const unsigned char *)text, strlen(text));
	sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
	int status = write_key(ctl, ctl->argv[1], ctl->argv[2], hex);
	if (status == CTL_OK)
		printf("%s\n", text);
	sodium_memzero(bytes, sizeof(bytes));
	sodium_memzero(text, sizeof(text));
	return status;
}
