#include "builtin.h"
int cmd_load(int argc, char **argv)
{
	(void)argc;
	(void)argv;
	return CMD_USAGE;
}
