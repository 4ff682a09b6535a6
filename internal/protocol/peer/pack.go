package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxUnpacked bounds what a packed catalog may hold.
const maxUnpacked = 32 << 20

// Pack compresses a catalog as it travels and is stored. Most of a catalog are
// routes that differ in a few letters.
func Pack(data []byte) []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // the level exists
	w.Write(data)                                   // a Buffer takes everything
	w.Close()
	return b.Bytes()
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fault.Wrap(err, fault.CorruptData, "peer: catalog cannot be unpacked")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.CorruptData, "peer: catalog cannot be unpacked")
	case len(data) > maxUnpacked:
		return nil, fault.New(fault.TooLarge, "peer: catalog has more than %d bytes", maxUnpacked)
	}
	return data, nil
}
