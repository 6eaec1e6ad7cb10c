#include "builtin.h"
#include "version.h"

#include <stdio.h>

int cmd_version(int argc, char **argv)
{
	void *table[] = {arg_lit0(NULL, "help", "show this text"), arg_end(4)};
	int rc = cmd_parse(argc, argv, table, 2, "Shows the version.");

	arg_freetable(table, 2);
	if (rc == CMD_CONTINUE) {
		printf("marjoramlatch %s\n", MARJORAMLATCH_VERSION);
		rc = CMD_OK;
	}
	return rc;
}
