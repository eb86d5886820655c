// Package keylog is a stand-in of the platform's store: a log with topics. It also
// retains the newest record of each key that Put writes, on any topic, or that is appended over
// HTTP to a keyed topic.
package keylog

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is the stand-in, an http.Handler. The zero value is empty and ready to use.
type Store struct {
	// Down answers every call with status 503.
	Down atomic.Bool
	// Delay is added to the time of each call, in nanoseconds.
	Delay atomic.Int64
	// LoseAppends executes appends and closes the connection without an answer.
	LoseAppends atomic.Bool
	// AppendDelay postpones the execution of appends, in nanoseconds; above 0 they get no
	// answer.
	AppendDelay atomic.Int64
	// Calls is the number of calls so far, failed ones included.
	Calls atomic.Int64

	mu         sync.Mutex
	partitions map[string]*partition
	// era counts the calls of Restore. All answers name it.
	era int
}

type partition struct {
	// first is the offset of records[0], the oldest record kept; without records it is the
	// offset of the next one.
	first   int
	records [][]byte
	newest  map[string]newestRecord
	// appended is closed and replaced with each append.
	appended chan struct{}
}

type newestRecord struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func (s *Store) partition(topic, part string) *partition {
	if s.partitions == nil {
		s.partitions = map[string]*partition{}
	}
	p := s.partitions[topic+"/"+part]
	if p == nil {
		p = &partition{newest: map[string]newestRecord{}, appended: make(chan struct{})}
		s.partitions[topic+"/"+part] = p
	}
	return p
}

// end returns the offset that the next record gets, one above that of the newest.
func (p *partition) end() int { return p.first + len(p.records) }

func (p *partition) append(record []byte) {
	p.records = append(p.records, record)
	close(p.appended)
	p.appended = make(chan struct{})
}

// keyedTopicPrefix begins the names of topics whose records appended over HTTP have keys.
const keyedTopicPrefix = "keyed."

// appendKeyed adds a record that is the length of the key in one byte, the key and the value.
// An empty value drops the key. A record shorter than its key is kept in the log only.
func (p *partition) appendKeyed(record []byte) {
	if len(record) > 0 && len(record) >= 1+int(record[0]) {
		key, value := string(record[1:1+int(record[0])]), record[1+int(record[0]):]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = newestRecord{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: p.end()}
		}
	}
	p.append(record)
}

// Put writes a record under a key of at most 255 bytes; an empty value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.partition(topic, "0").appendKeyed(append(record, value...))
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *Store) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.first, p.records = p.end(), nil
}

// Restore brings the store back as from a copy that lacks the last records of each partition: their
// offsets are given out again. The writers of the topics named in rewritten write what was lost there
// again.
func (s *Store) Restore(lost int, rewritten ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, p := range s.partitions {
		kept := max(0, len(p.records)-lost)
		last := p.records[kept:]
		p.records = p.records[:kept:kept]
		topic, _, _ := strings.Cut(name, "/")
		if !strings.HasPrefix(topic, keyedTopicPrefix) {
			continue
		}
		for key, newest := range p.newest {
			if newest.Offset >= p.end() {
				delete(p.newest, key)
			}
		}
		before := p.records
		p.records = nil
		for _, record := range before {
			p.appendKeyed(record)
		}
		if slices.Contains(rewritten, topic) {
			for _, record := range last {
				p.appendKeyed(record)
			}
		}
	}
}

// eraHeader is the header of all answers that names the era.
const eraHeader = "Store-Era"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Calls.Add(1)
	s.mu.Lock()
	w.Header().Set(eraHeader, strconv.Itoa(s.era))
	s.mu.Unlock()
	if s.Down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(s.Delay.Load()))
	switch r.Method + " " + r.URL.Path {
	case "POST /log-append":
		s.handleAppend(w, r)
	case "GET /log-read":
		s.handleRead(w, r)
	case "GET /log-newest":
		s.handleNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	var records [][]byte
	for {
		var length [4]byte
		if _, err := readFull(r, length[:]); err != nil {
			break
		}
		record := make([]byte, binary.BigEndian.Uint32(length[:]))
		if _, err := readFull(r, record); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, record)
	}
	query := r.URL.Query()
	if delay := s.AppendDelay.Load(); delay > 0 {
		time.AfterFunc(time.Duration(delay), func() { s.append(query, records) })
		panic(http.ErrAbortHandler)
	}
	status, answer := s.append(query, records)
	if s.LoseAppends.Load() {
		panic(http.ErrAbortHandler)
	}
	answerJSON(w, status, answer)
}

// append adds records and returns the status and the answer. If the query names an offset
// ("at") and the partition does not end there, it adds none and the status is 412.
func (s *Store) append(query url.Values, records [][]byte) (status int, answer map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(query.Get("topic"), query.Get("part"))
	if at := query.Get("at"); at != "" && at != strconv.Itoa(p.end()) {
		return http.StatusPreconditionFailed, map[string]int{"end": p.end()}
	}
	offset := p.end()
	keyed := strings.HasPrefix(query.Get("topic"), keyedTopicPrefix)
	for _, record := range records {
		if keyed {
			p.appendKeyed(record)
		} else {
			p.append(record)
		}
	}
	return http.StatusOK, map[string]int{"offset": offset, "end": p.end()}
}

func readFull(r *http.Request, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := r.Body.Read(buf[n:])
		n += m
		if err != nil && n < len(buf) {
			return n, err
		}
	}
	return n, nil
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	// Missing numbers are 0, as on the platform.
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waited := wait == 0; ; {
		s.mu.Lock()
		p := s.partition(query.Get("topic"), query.Get("part"))
		if from < p.first || s.era > 0 && from > p.end() {
			first := p.first
			s.mu.Unlock()
			answerJSON(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if from < p.end() || waited {
			body := p.read(from)
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		appended := p.appended
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *partition) read(from int) []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
	body = binary.BigEndian.AppendUint64(body, uint64(p.first))
	for i := max(0, from-p.first); i < len(p.records); i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[i])))
		body = append(body, p.records[i]...)
	}
	return body
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	after := r.URL.Query().Get("after")
	items := []newestRecord{}
	for key, it := range p.newest {
		if strings.Compare(key, after) > 0 {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxItems
	if more {
		items = items[:maxItems]
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": p.end()})
}

// maxItems limits a page. It is small so that tests read several pages.
const maxItems = 5

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return
	}
}
