// Writes the JSON descriptor of proto/peer.proto to src/peer/generated, where it is committed.
import { readFileSync, writeFileSync } from "node:fs";
import protobuf from "protobufjs";

const source = readFileSync("proto/peer.proto", "utf8");
const { root } = protobuf.parse(source, { keepCase: false });
const text = JSON.stringify(root.toJSON(), null, 2) + "\n";
writeFileSync("src/peer/generated/peer_descriptor.json", text);
