#ifndef EGRET_PLATFORM_SETTINGS_H
#define EGRET_PLATFORM_SETTINGS_H

#include "egretscaled/node/settings.h"

#include <jansson.h>

/*
 * NAME
 *	platform/settings - reader of the platform's JSON settings file
 *
 * DESCRIPTION
 *	platform_settings_read() sets the fields of settings_t that the file
 *	covers and leaves the others unchanged. Unknown fields in the file are
 *	ignored. On failure the error is EGRET_ERROR_SETTING, its message states
 *	the field, its value and the allowed values, and settings_t is unchanged.
 */

bool platform_settings_read(const char *path, settings_t *settings, GError **error);

/* As platform_settings_read(), from a parsed document. `root` stays the caller's. */
bool platform_settings_decode(const json_t *root, settings_t *settings, GError **error);

#endif
