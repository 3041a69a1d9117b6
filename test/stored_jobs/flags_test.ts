import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeFlags } from "../../src/stored_jobs/decode_flags.ts";
import { encodeFlags } from "../../src/stored_jobs/encode_flags.ts";

test("flags are the same after encoding and decoding", () => {
  for (let count = 0; count < 40; count += 1) {
    const flags = Array.from({ length: count }, (_, i) => i * i % 3 === 1);
    assert.deepEqual(decodeFlags(encodeFlags(flags), count), flags);
  }
});

test("flags that were not encoded are not set", () => {
  assert.deepEqual(decodeFlags("", 3), [false, false, false]);
});
