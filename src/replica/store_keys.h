/**
 * @file
 * Names of the keys that the controllers keep in the state service.
 *
 * They are stored: a change of any of them makes a running deployment's state unreadable.
 */
#ifndef TMX_STORE_KEYS_H
#define TMX_STORE_KEYS_H

/** Prefix of every key of this program. */
#define TMX_KEY_PREFIX "t/"
/** Longest key, in bytes: the limit that PROTOCOL sets. */
#define TMX_KEY_MAX 200
/** Prefix of job keys: `t/job/ID` holds a job's record, written with its final state. */
#define TMX_KEY_JOB TMX_KEY_PREFIX "job/"
/** Prefix of batches of the log: `t/batch/MEMBER/SLOT`. */
#define TMX_KEY_BATCH TMX_KEY_PREFIX "batch/"
/** Prefix of snapshot pages: `t/page/GENERATION/NUMBER`, the generation in hexadecimal. */
#define TMX_KEY_PAGE TMX_KEY_PREFIX "page/"
/** The compaction that is in force: its compaction point and its generation of pages. */
#define TMX_KEY_COMPACTION TMX_KEY_PREFIX "fold"
/** Prefix of member keys: `t/node/NAME`, whose version is the member's incarnation. */
#define TMX_KEY_MEMBER TMX_KEY_PREFIX "node/"
/** Name and incarnation of the leader. */
#define TMX_KEY_LEADER TMX_KEY_PREFIX "leader"
/** The view: members, term and overrides of owners. */
#define TMX_KEY_VIEW TMX_KEY_PREFIX "view"
/** Head of the log: every batch is committed on the condition that its version is unchanged. */
#define TMX_KEY_HEAD TMX_KEY_PREFIX "head"
#endif
