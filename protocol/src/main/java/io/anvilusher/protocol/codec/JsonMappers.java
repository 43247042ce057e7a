package io.anvilusher.protocol.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

import io.anvilusher.model.fact.Fact;

/**
 * Jackson mappers for the classes of the model. A fact is written with the simple name of
 * its class in the field {@code fact}, by which its class is found when it is read.
 */
public final class JsonMappers {

	private static final ObjectMapper MODEL = create();

	private JsonMappers() {
	}

	/**
	 * Returns the mapper for the classes of the model.
	 * @return the shared mapper, whose configuration must not be changed
	 */
	public static ObjectMapper model() {
		return MODEL;
	}

	private static ObjectMapper create() {
		ObjectMapper mapper = JsonMapper.builder()
			.addModule(new Jdk8Module())
			.addMixIn(Fact.class, FactMixin.class)
			.serializationInclusion(JsonInclude.Include.ALWAYS)
			// A record written by a newer release may contain fields that this release
			// does not know.
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.build();
		for (Class<?> type : Fact.class.getPermittedSubclasses()) {
			mapper.registerSubtypes(new NamedType(type, type.getSimpleName()));
		}
		return mapper;
	}

	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "fact")
	private interface FactMixin {

	}

}
