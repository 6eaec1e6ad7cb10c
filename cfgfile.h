#ifndef CFGFILE_H
#define CFGFILE_H

/*
 * The newest lists on a proxy's disk, so that a proxy that restarts in a
 * partitioned zone without a peer still has them.
 *
 * The file <data>/config holds one line "marjoramlatch-config <version>
 * <digest>" and the text of the lists. It is written to a new file, synced and
 * renamed, so it is always one complete version.
 */

#include "lists.h"

enum res cfg_save(const char *folder, const struct lists *l, struct err *e);

/* NULL with e set if there is no file, or if it is damaged. */
struct lists *cfg_load(const char *folder, struct err *e);

#endif
