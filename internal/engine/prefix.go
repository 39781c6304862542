package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks returns the hashes of a prompt's prefixes, one for each full block of
// blockBytes bytes, shortest prefix first, and at most limit. Each hash covers the
// model and all bytes up to the end of its block, so two prompts share a hash only if
// they share the whole prefix. Routers and engines use the same hashes.
func PrefixBlocks(model string, prompt []byte, blockBytes, limit int) []uint64 {
	blocks := min(len(prompt)/blockBytes, limit)
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(model)
	for i := range blocks {
		hash = hashBlock(hash, prompt[i*blockBytes:(i+1)*blockBytes])
		hashes = append(hashes, hash)
	}
	return hashes
}

// hashBlock returns the hash of a block, chained to the hash of the prefix before it.
func hashBlock(previousHash uint64, block []byte) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previousHash)
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(seed[:])
	digest.Write(block)
	return digest.Sum64()
}

// BlockBytes is the number of bytes of PromptBytes that count as one block of the
// prefix cache.
const BlockBytes = 64

// MaxBlocks is the largest number of prefix blocks that are hashed for one prompt.
const MaxBlocks = 256

// PromptBytes returns the canonical form of a prompt, which is the input of
// PrefixBlocks: the role and the raw JSON content of each message, each followed by a
// newline.
func PromptBytes(messages []Message) []byte {
	var prompt []byte
	for _, m := range messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, '\n')
		prompt = append(prompt, m.Content...)
		prompt = append(prompt, '\n')
	}
	return prompt
}
