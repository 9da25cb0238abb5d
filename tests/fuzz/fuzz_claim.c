/* Fuzzes the decoding of claim rows, which the platform returns. */
#include "claims/claim.h"

#include <stddef.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text = g_strndup((const char *)data, size);
	claim_row_t row;

	if (claim_row_decode(text, &row)) {
		claim_check(&row, 1);
		claim_row_clear(&row);
	}
	g_free(text);
	return 0;
}
