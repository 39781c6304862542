package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks hashes the prefixes of a prompt, one per whole block of
// blockBytes, shortest first. Each hash covers all bytes before it, so two
// prompts share a hash only if they share the whole prefix. At most limit
// hashes are made.
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

func hashBlock(previousHash uint64, block []byte) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previousHash)
	var digest xxhash.Digest
	digest.Reset()
	digest.Write(seed[:])
	digest.Write(block)
	return digest.Sum64()
}

// BlockBytes is the number of prompt bytes that stand for one cache block.
const BlockBytes = 64

// MaxBlocks bounds the prefix blocks that are hashed of one prompt.
const MaxBlocks = 256

// PromptBytes returns the canonical form of a prompt, over which prefix
// blocks are hashed.
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
