/**
 * @file
 * Names of the keys that the controllers keep in the state service.
 *
 * The names are stored: changing one makes the state of a running deployment unreadable.
 */
#ifndef TMX_STORE_KEYS_H
#define TMX_STORE_KEYS_H

/** Prefix of every key of this program. */
#define TMX_KEY_PREFIX "t/"
/** Longest key, in bytes: the limit of PROTOCOL. */
#define TMX_KEY_MAX 200
/** Prefix of job keys: `t/job/ID` holds a job's record and is written with its final state. */
#define TMX_KEY_JOB TMX_KEY_PREFIX "job/"
/** Prefix of the keys of log batches: `t/batch/MEMBER/NUMBER`, the number in hexadecimal. */
#define TMX_KEY_BATCH TMX_KEY_PREFIX "batch/"
/** Prefix of the keys of snapshot pages: `t/page/GENERATION/NUMBER`, the generation in hexadecimal.
 */
#define TMX_KEY_PAGE TMX_KEY_PREFIX "page/"
/** Key of the compaction in force: its compaction point and its generation of snapshot pages. */
#define TMX_KEY_COMPACTION TMX_KEY_PREFIX "fold"
/** Prefix of member keys: `t/node/NAME`. The key's version is the member's incarnation. */
#define TMX_KEY_MEMBER TMX_KEY_PREFIX "node/"
/** Key of the leader: its name and incarnation. */
#define TMX_KEY_LEADER TMX_KEY_PREFIX "leader"
/** Key of the view: members, term and owner overrides. */
#define TMX_KEY_VIEW TMX_KEY_PREFIX "view"
/** Key of the log's head: a batch is committed only if the version of this key is unchanged. */
#define TMX_KEY_HEAD TMX_KEY_PREFIX "head"
#endif
