/** Names and flags that the build of the code cache and the loader share. */

/** The bundle: one function that is called with `require`. */
export const bundleName = 'sidecar-bundle.js';
export const cacheName = 'sidecar-bundle.cache';
/** V8 accepts a cache only under the flags with which it was written; `deploy/system.toml` starts with the same. */
export const nodeFlags = ['--max-old-space-size=160', '--max-semi-space-size=8'] as const;
