package gwmanifest

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
)

// KeyDigest identifies an API key within this process, without allowing to recover it. The zero
// value stands for no key.
type KeyDigest [sha256.Size]byte

// keySalt keeps digests from being compared with those of other processes, and callers from
// choosing keys by the place of their digests in a table.
var keySalt = newKeySalt()

func newKeySalt() []byte {
	salt := make([]byte, sha256.Size)
	_, _ = rand.Read(salt) // never fails
	return salt
}

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest {
	if key == "" {
		return KeyDigest{}
	}
	h := sha256.New()
	h.Write(keySalt)
	h.Write([]byte(key))
	return KeyDigest(h.Sum(nil))
}

// keyOwner is the customer of one API key.
type keyOwner struct {
	digest   KeyDigest
	customer string
	// shared means that several customers have the key, so that it gives no access.
	shared bool
}

// keyTable finds the customers of API keys. It is grouped by a part of the digest, which says
// nothing about a key without keySalt; within a group, digests are compared in constant time.
type keyTable map[uint64][]keyOwner

func (d KeyDigest) bucket() uint64 { return binary.LittleEndian.Uint64(d[:]) }

// add adds a key of a customer.
func (t keyTable) add(d KeyDigest, customer string) {
	owners := t[d.bucket()]
	for i := range owners {
		if owners[i].digest == d {
			owners[i].shared = owners[i].shared || owners[i].customer != customer
			return
		}
	}
	t[d.bucket()] = append(owners, keyOwner{digest: d, customer: customer})
}

func (t keyTable) find(d KeyDigest) (customer string, ok bool) {
	for _, o := range t[d.bucket()] {
		if subtle.ConstantTimeCompare(o.digest[:], d[:]) == 1 && !o.shared {
			customer, ok = o.customer, true
		}
	}
	return customer, ok
}

// addCustomers adds the customers by their names and keys, and replaces the manifest's list by
// one without keys, so that they are kept as digests only, beside the manifest's text.
func (x *Index) addCustomers() {
	list := x.manifest.Customers
	if list == nil {
		return
	}
	x.customers, x.keys = make(map[string]Customer, len(list)), make(keyTable)
	withoutKeys := make([]Customer, len(list))
	for i, c := range list {
		for _, key := range c.Keys {
			if key != "" && c.Name != "" {
				x.keys.add(DigestKey(key), c.Name)
			}
		}
		c.Keys = nil
		withoutKeys[i] = c
		if _, known := x.customers[c.Name]; !known {
			x.customers[c.Name] = c
		}
	}
	x.manifest.Customers = withoutKeys
}

// NeedsKeys reports whether callers of classes that are not public need an API key.
func (x *Index) NeedsKeys() bool { return x.manifest.Customers != nil }

// Customer returns the customer with the given name, without its keys.
func (x *Index) Customer(name string) (Customer, bool) {
	c, ok := x.customers[name]
	return c, ok
}

// CustomerOfKey returns the name of the customer that has the API key. It returns false for a
// key that no customer or more than one has.
func (x *Index) CustomerOfKey(key string) (string, bool) { return x.CustomerOfDigest(DigestKey(key)) }

// CustomerOfDigest is CustomerOfKey for the digest of a key.
func (x *Index) CustomerOfDigest(d KeyDigest) (string, bool) {
	if d == (KeyDigest{}) {
		return "", false
	}
	return x.keys.find(d)
}

// maxLimit bounds the rate and the burst of a customer.
const maxLimit = 1e9

const keyFormat = "1 to 256 printable ASCII characters without blanks"

var keyPattern = regexp.MustCompile(`^[!-~]{1,256}$`)

// checkCustomers checks the customers of a manifest. No error contains a key.
func (c *checker) checkCustomers(customers []Customer) {
	names, keys := map[string]string{}, map[string]string{}
	for i, customer := range customers {
		path := fmt.Sprintf("customers[%d]", i)
		c.checkUniqueName(names, path+".name", customer.Name, databasePattern, databaseFormat)
		c.checkNumber(path+".priority", customer.Priority, 0, maxPriority)
		c.checkLimit(path+".rate", customer.Rate)
		c.checkLimit(path+".burst", customer.Burst)
		for j, key := range customer.Keys {
			c.checkKey(keys, fmt.Sprintf("%s.keys[%d]", path, j), key)
		}
	}
}

// checkKey checks the format of a key and that no other field has it.
func (c *checker) checkKey(seen map[string]string, path, key string) {
	if !keyPattern.MatchString(key) {
		c.addInvalid(path, keyFormat, "the key is not valid")
		return
	}
	if first, ok := seen[key]; ok {
		c.addInvalid(path, "a key that is used once", "the key is already used by %s", first)
		return
	}
	seen[key] = path
}

// checkLimit checks a rate or a burst.
func (c *checker) checkLimit(path string, v float64) {
	if v < 0 || v > maxLimit || math.IsNaN(v) {
		c.addInvalid(path, fmt.Sprintf("0 to %d", int64(maxLimit)), "the value is %g", v)
	}
}
