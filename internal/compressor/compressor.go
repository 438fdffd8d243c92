// Package compressor packs a piece of configuration against an earlier piece
// that the receiver holds, so that a small change travels as a few bytes.
package compressor

import (
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID marks frames that need the base. Its value carries no
	// meaning.
	dictionaryID = 1
	// maxUnpacked bounds what a frame may unpack to, in bytes.
	maxUnpacked = 2 << 20
	// window is the encoder's window, in bytes.
	window = 512 << 10
)

// Pack returns content packed against base, which may be empty.
func Pack(content, base string) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(window),
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

// Unpack returns what Pack was given.
func Unpack(packed []byte, base string) (string, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxUnpacked),
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
