package resumption

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"headhill.example/headhill/pkg/forms/formstest"
	"headhill.example/headhill/pkg/resumption/resumptionpb"
	"headhill.example/headhill/pkg/roster"
)

func TestKeysOfOrganisationsDiffer(t *testing.T) {
	assert.Equal(t, KeyOf("a", "b"), KeyOf("a", "b"))
	for _, other := range []Key{KeyOf("ab", ""), KeyOf("", "ab"), KeyOf("b", "a")} {
		assert.NotEqual(t, KeyOf("a", "b"), other)
	}
}

// Guards against a guess where an attempt's ID was used for two streams, or its server had two lives.
func TestTwoOriginsOfAStreamAreAmbiguous(t *testing.T) {
	now := time.Now()
	for name, second := range map[string]Origin{"another version": {Service: "s", Version: "v2"}, "ambiguous": {Service: "s", Version: "v1", Ambiguous: true}} {
		r, k := NewRegistry(), KeyOf("a", name)
		r.Put(k, Origin{Service: "s", Version: "v1"}, true, now)
		r.Put(k, second, false, now)
		r.Put(k, Origin{Service: "s", Version: "v1"}, false, now)
		o, ok := r.Get(k, now)
		assert.True(t, ok && o.Ambiguous, name)
		assert.Contains(t, r.All(true, now), k, "the stream is still this box's own")
	}
}

// Guards against streams that stay refused although it has become certain where they began, or that go on while it is not.
func TestUncertainOriginIsReplaced(t *testing.T) {
	now, v1, v2 := time.Now(), Origin{Service: "s", Version: "v1"}, Origin{Service: "s", Version: "v2"}
	uncertain := Origin{Service: "s", Version: "v1", Uncertain: true}
	for name, c := range map[string]struct {
		puts      []Origin
		want      Origin
		ambiguous bool
	}{
		"uncertain":              {[]Origin{uncertain}, uncertain, false},
		"the same version":       {[]Origin{uncertain, v1}, v1, false},
		"another version":        {[]Origin{uncertain, v2}, v2, false},
		"uncertain since":        {[]Origin{v1, uncertain}, v1, true},
		"two versions after all": {[]Origin{uncertain, v2, v1}, v1, true},
	} {
		r, k := NewRegistry(), KeyOf("a", name)
		for _, o := range c.puts {
			decodedKey, decoded, err := decodeRecord(encodeRecord(k, o))
			assert.NoError(t, err)
			assert.Equal(t, o, decoded, name)
			r.Put(decodedKey, decoded, true, now)
		}
		c.want.Ambiguous = c.ambiguous
		o, _ := r.Get(k, now)
		assert.Equal(t, c.want, o, name)
		known := Decide("s", Evidence{Origin: o, Found: true}).Known
		assert.Equal(t, !o.Uncertain && !o.Ambiguous, known, name)
	}
}

func TestRecordsAreKeptForRetention(t *testing.T) {
	r, start := NewRegistry(), time.Now()
	for i := range 300 {
		at := start.Add(time.Duration(i) * time.Second)
		r.Put(KeyOf("a", fmt.Sprint(i)), Origin{Service: "s"}, false, at)
		if back := i - int(Retention/time.Second) + 1; back >= 0 {
			_, ok := r.Get(KeyOf("a", fmt.Sprint(back)), at)
			assert.True(t, ok, "a record of %d s ago", i-back)
		}
		assert.LessOrEqual(t, r.Len(), 2*int(Retention/time.Second)+2)
	}
	_, ok := r.Get(KeyOf("a", "299"), start.Add(time.Hour))
	assert.False(t, ok)
}

// Guards against memory that grows with a flood of streams.
func TestRecordsAreBounded(t *testing.T) {
	r, now := NewRegistry(), time.Now()
	for i := range 5 * maxGeneration {
		r.Put(KeyOf("a", fmt.Sprint(i)), Origin{Service: "s"}, false, now)
		if r.Len() > 2*maxGeneration {
			t.Fatalf("%d records", r.Len())
		}
	}
	_, newest := r.Get(KeyOf("a", fmt.Sprint(5*maxGeneration-1)), now)
	_, oldest := r.Get(KeyOf("a", "0"), now)
	assert.True(t, newest)
	assert.False(t, oldest)
}

func boxes(n, halls int) (list []roster.Entry) {
	for i := range n {
		list = append(list, roster.Entry{Box: fmt.Sprint("box-", i), Hall: fmt.Sprint("hall-", i%halls), Peer: fmt.Sprintf("127.0.0.1:%d", 1000+i)})
	}
	return list
}

// Guards against records that boxes with somewhat different rosters look for elsewhere.
func TestKeepersAgreeOnMostOfThem(t *testing.T) {
	all := boxes(60, 3)
	for i := range 200 {
		k := KeyOf("a", fmt.Sprint(i))
		from, to := Keepers(all, k, copies, "box-0"), Keepers(all[:55], k, maxAsked, "box-1")
		halls, shared := make(map[string]bool), 0
		for _, e := range from {
			halls[e.Hall] = true
			for _, asked := range to {
				if asked.Box == e.Box {
					shared++
				}
			}
		}
		assert.Len(t, halls, 3)
		assert.Positive(t, shared)
	}
	assert.Len(t, Keepers(boxes(2, 1), KeyOf("a", "b"), copies, "box-0"), 1)
	assert.Empty(t, Keepers(boxes(1, 1), KeyOf("a", "b"), copies, "box-0"))
}

func TestDecide(t *testing.T) {
	versions := func(list ...string) ServiceVersions { return ServiceVersions{Versions: list, HistoryKnown: true} }
	one, two, started := versions("v1"), versions("v1", "v2"), ServiceVersions{Versions: []string{"v1"}}
	recorded := Origin{Service: "s", Version: "v2"}
	for name, c := range map[string]struct {
		e       Evidence
		known   bool
		version string
	}{
		"recorded":                                 {Evidence{Found: true, Origin: recorded, ServiceVersions: two}, true, "v2"},
		"recorded, this box is behind":             {Evidence{Found: true, Origin: recorded, ServiceVersions: one}, true, "v2"},
		"ambiguous":                                {Evidence{Found: true, Origin: Origin{Service: "s", Ambiguous: true}, ServiceVersions: one}, false, ""},
		"no record, several versions":              {Evidence{ServiceVersions: two, ListConfirmed: true, Others: 3, Answers: 3, Confirming: 3}, false, ""},
		"no record, others know several":           {Evidence{ServiceVersions: one, ListConfirmed: true, Others: 3, Answers: 3, Confirming: 3, OthersSeveral: true}, false, ""},
		"one version, list confirmed":              {Evidence{ServiceVersions: one, ListConfirmed: true, Others: 3}, true, "v1"},
		"one version, two boxes answered":          {Evidence{ServiceVersions: one, Others: 3, Answers: 2, Confirming: 2}, true, "v1"},
		"one version, one of three boxes answered": {Evidence{ServiceVersions: one, Others: 3, Answers: 1, Confirming: 1}, false, ""},
		"no server known":                          {Evidence{ServiceVersions: ServiceVersions{HistoryKnown: true}, ListConfirmed: true, Others: 3, Answers: 3, Confirming: 3}, false, ""},
		"recorded at another service":              {Evidence{Found: true, Origin: Origin{Service: "other", Version: "v7"}, ServiceVersions: two}, true, "v7"},
		"recorded, the version is gone meanwhile":  {Evidence{Found: true, Origin: recorded, ServiceVersions: versions("v3")}, true, "v2"},
		"all boxes have just started":              {Evidence{ServiceVersions: started, ListConfirmed: true, Others: 3, Answers: 3}, false, ""},
		"the only box has just started":            {Evidence{ServiceVersions: started, ListConfirmed: true}, false, ""},
		"just started, two older boxes answered":   {Evidence{ServiceVersions: started, ListConfirmed: true, Others: 3, Answers: 3, Confirming: 2}, true, "v1"},
		"behind, others have just started":         {Evidence{ServiceVersions: one, Others: 3, Answers: 3}, false, ""},
		"the only box":                             {Evidence{ServiceVersions: one}, true, "v1"},
	} {
		v := Decide("s", c.e)
		assert.Equal(t, c.known, v.Known, name)
		assert.Equal(t, c.version, v.Origin.Version, name)
		assert.NotEmpty(t, v.Reason, name)
	}
}

func TestFormOfMessages(t *testing.T) {
	formstest.CheckShape(t, "resumption", &resumptionpb.Message{})
}
