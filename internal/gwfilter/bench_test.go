package gwfilter

import (
	"strings"
	"testing"
)

// BenchmarkClassify measures the classification of a short and of a long read.
func BenchmarkClassify(b *testing.B) {
	for _, bb := range []struct{ name, sql string }{
		{"short", "select id, subject, body from visit where subject = $1 order by seq desc limit 50"},
		{"long", "select * from visit where id in ('" + strings.Repeat("a', 'b", 10_000) + "')"},
	} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(bb.sql)))
			for b.Loop() {
				if classify(bb.sql) != stmtRead {
					b.Fatal("not a read")
				}
			}
		})
	}
}
