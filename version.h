#ifndef VERSION_H
#define VERSION_H

/* Version of the programs, which --version prints; the build may set it. */
#ifndef MARJORAMLATCH_VERSION
#define MARJORAMLATCH_VERSION "0.1"
#endif

#endif
