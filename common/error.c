#include "common/error.h"

G_DEFINE_QUARK(egret - error - quark, egret_error)

static const char *const code_names[] = {
	[EGRET_ERROR_SETTING] = "setting",
	[EGRET_ERROR_ADDRESS] = "address",
	[EGRET_ERROR_IO] = "io",
	[EGRET_ERROR_LIBRARY] = "library",
	[EGRET_ERROR_RECORD] = "record",
	[EGRET_ERROR_JSON] = "json",
	[EGRET_ERROR_FRAME] = "frame",
	[EGRET_ERROR_AUTH] = "auth",
	[EGRET_ERROR_UNAVAILABLE] = "unavailable",
	[EGRET_ERROR_TIMEOUT] = "slow",
	[EGRET_ERROR_CONFLICT] = "conflict",
	[EGRET_ERROR_UNKNOWN_RESULT] = "unknown-result",
	[EGRET_ERROR_NOT_FOUND] = "not-found",
};

const char *egret_error_name(int code)
{
	if (code < 0 || code >= (int)G_N_ELEMENTS(code_names))
		return "other";
	return code_names[code];
}
