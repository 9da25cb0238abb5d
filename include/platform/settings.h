#ifndef EGRET_PLATFORM_SETTINGS_H
#define EGRET_PLATFORM_SETTINGS_H

#include "egretscaled/node/settings.h"

#include <jansson.h>

/*
 * NAME
 *	platform/settings - the settings file that the platform writes
 *
 * DESCRIPTION
 *	platform_settings_read() decodes the JSON file into the fields of
 *	settings_t that it covers and leaves the others. Unknown fields are
 *	ignored. On an error (EGRET_ERROR_SETTING, naming the field, its value
 *	and what is allowed) settings_t is not changed.
 */

bool platform_settings_read(const char *path, settings_t *settings, GError **error);

/* The same from a document that was read. */
bool platform_settings_decode(const json_t *root, settings_t *settings, GError **error);

#endif
