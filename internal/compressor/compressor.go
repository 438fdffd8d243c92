// Package compressor compresses a piece of configuration with an earlier piece
// that the receiver holds as the dictionary, so that a small change takes a few
// bytes on the wire.
package compressor

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID marks frames that need the base to be unpacked. The value is
	// arbitrary.
	dictionaryID = 1
	// maxUnpackedBytes bounds the unpacked size of a frame.
	maxUnpackedBytes = 2 << 20
	// windowBytes is the size of the encoder's window. It holds a base and a content
	// of the maximum size of a template: a part of the base that lies further back
	// than the window cannot be referred to.
	windowBytes = 4 << 20
)

// Pack compresses content with base as the dictionary. An empty base means no
// dictionary.
func Pack(content, base string) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowBytes),
		zstd.WithEncoderCRC(false),
	}
	if base != "" {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, []byte(base)))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "compressor: pack")
	}
	packed := encoder.EncodeAll([]byte(content), nil)
	return packed, errors.Wrap(encoder.Close(), "compressor: pack")
}

// Unpack decompresses the result of Pack, given the same base. It fails if the
// content would exceed maxUnpackedBytes.
func Unpack(packed []byte, base string) (string, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpackedBytes),
	}
	if base != "" {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, []byte(base)))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return "", errors.Wrap(err, "compressor: unpack")
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(packed, nil)
	return string(content), errors.Wrap(err, "compressor: unpack")
}
