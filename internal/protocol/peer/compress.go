package peer

import (
	"bytes"
	"compress/gzip"
	"io"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxCatalogBytes bounds the size of a decompressed catalog.
const maxCatalogBytes = 32 << 20

// CompressCatalog compresses an encoded catalog for transfer and storage. Most
// of a catalog are routes that differ in a few letters.
func CompressCatalog(data []byte) []byte {
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed) // BestSpeed is a valid level
	w.Write(data)                                   // writes to a Buffer do not fail
	w.Close()
	return b.Bytes()
}

// DecompressCatalog reverses CompressCatalog.
func DecompressCatalog(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fault.Wrap(err, fault.CorruptData, "peer: catalog cannot be decompressed")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxCatalogBytes+1))
	switch {
	case err != nil:
		return nil, fault.Wrap(err, fault.CorruptData, "peer: catalog cannot be decompressed")
	case len(data) > maxCatalogBytes:
		return nil, fault.New(fault.TooLarge, "peer: catalog has more than %d bytes", maxCatalogBytes)
	}
	return data, nil
}
