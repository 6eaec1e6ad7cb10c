#ifndef LISTS_FILE_H
#define LISTS_FILE_H

/*
 * Stores the newest lists (lists.h) on a proxy's disk. A proxy that restarts in
 * a partitioned zone, where it reaches neither control nor another proxy, then
 * still has them.
 *
 * The file <data>/config has the first line "marjoramlatch-config <version>
 * <digest>", followed by the text of the lists. A new version is written to a
 * temporary file, synced and renamed, so the file always holds one complete
 * version.
 */

#include "lists.h"

/* Replaces the file in the data folder; the lists are on disk on return. */
enum res lists_file_save(const char *folder, const struct lists *l,
			 struct err *e);

/* Reads the file; returns NULL and sets e if it is missing or damaged. */
struct lists *lists_file_load(const char *folder, struct err *e);

#endif
